#include "net/peer_server.h"

#include <unistd.h>

#include <atomic>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <variant>

#include "net/peer_link.h"
#include "net/tcp_acceptor.h"
#include "net/worker_pool.h"
#include "wire/authentication_key.h"
#include "wire/message_codec.h"

namespace heatherspan {
namespace {

// Three times the fleet of 640 nodes, as links of nodes that were replaced may still be open.
constexpr std::size_t kMaxLinks = 2048;
// Requests of one link that have no answer yet. A client bounds its calls, too, but forgets those
// whose deadline has passed.
constexpr std::size_t kMaxRequestsPerLink = 4096;

struct ServerState {
  std::shared_ptr<const AuthenticationKey> key;
  InstanceId self;
  PeerServer::Handler handler;
  std::atomic<bool> stopped{false};
  std::atomic<std::size_t> active{0};
  std::atomic<std::uint64_t> rejected{0};
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<PeerLink>> links;  // Guarded by the mutex.
};

/// One accepted link with what it has to answer.
struct ServerLink {
  std::shared_ptr<ServerState> server;
  std::weak_ptr<PeerLink> link;  ///< The link keeps its events, and they keep this.
  InstanceId sender;
  std::atomic<std::size_t> active{0};
};

/// The right to answer one request, held by the copies of its responder.
class PendingAnswer {
 public:
  PendingAnswer(std::shared_ptr<ServerLink> link, std::uint64_t correlation)
      : link_(std::move(link)), correlation_(correlation) {
    link_->active.fetch_add(1);
    link_->server->active.fetch_add(1);
  }

  ~PendingAnswer() { Finish(); }
  PendingAnswer(const PendingAnswer&) = delete;
  auto operator=(const PendingAnswer&) -> PendingAnswer& = delete;

  auto Answer(const PeerResponse& response) -> void {
    if (answered_.exchange(true)) return;
    auto frame = PeerLink::BeginFrame(correlation_);
    AppendMessage(response, frame);
    // The client would wait for an answer that can't come, so that it has to learn of the loss.
    const auto link = link_->link.lock();
    if (link == nullptr) {
      Finish();
      return;
    }
    if (!PeerLink::FrameFits(frame)) {
      link->Close(absl::ResourceExhaustedError("a response is longer than a frame may be"));
    } else if (!link->Send(correlation_, std::move(frame))) {
      link->Close(absl::ResourceExhaustedError("the write queue of the link is full"));
    }
    Finish();
  }

 private:
  auto Finish() -> void {
    if (finished_.exchange(true)) return;
    link_->active.fetch_sub(1);
    link_->server->active.fetch_sub(1);
  }

  const std::shared_ptr<ServerLink> link_;
  const std::uint64_t correlation_;
  std::atomic<bool> answered_{false};
  std::atomic<bool> finished_{false};
};

/// Refuses a request of a link that has too many without an answer. False if it can't be refused.
auto RefuseOverload(const PeerRequest& request, PendingAnswer& answer) -> bool {
  if (!std::holds_alternative<ForwardRequest>(request)) return false;
  ForwardResponse refusal;
  refusal.verdict = Verdict::kNotRun;
  refusal.reason = Reason::kOverload;
  answer.Answer(refusal);
  return true;
}

auto OnFrame(const std::shared_ptr<ServerLink>& link, std::uint64_t correlation,
             std::string_view message) -> bool {
  auto request = DecodePeerRequest(message);
  if (!request.ok()) return false;
  auto& server = *link->server;
  if (server.stopped.load()) return true;
  if (std::holds_alternative<CancelRequest>(*request)) {
    server.handler(link->sender, *std::move(request), [](const PeerResponse&) {});
    return true;
  }
  const bool overloaded = link->active.load() >= kMaxRequestsPerLink;
  auto answer = std::make_shared<PendingAnswer>(link, correlation);
  if (overloaded) return RefuseOverload(*request, *answer);
  server.handler(
      link->sender, *std::move(request),
      [answer = std::move(answer)](const PeerResponse& response) { answer->Answer(response); });
  return true;
}

auto OnClosed(const std::shared_ptr<ServerLink>& link, const PeerLink::End& end) -> void {
  auto& server = *link->server;
  if (end.rejected) server.rejected.fetch_add(1);
  const std::lock_guard lock(server.mutex);
  server.links.erase(link->link.lock());
}

auto Open(WorkerPool& workers, const std::shared_ptr<ServerState>& server,
          const AcceptedSocket& socket) -> void {
  auto link = std::make_shared<ServerLink>();
  link->server = server;
  std::shared_ptr<PeerLink> accepted;
  {
    const std::lock_guard lock(server->mutex);
    // Stop empties the set under this mutex; a link added later would stay open.
    if (server->stopped.load() || server->links.size() >= kMaxLinks) {
      ::close(socket.descriptor);
      return;
    }
    accepted = PeerLink::Accept(workers, socket, server->key, server->self);
    link->link = accepted;
    server->links.insert(accepted);
  }
  PeerLink::Events events;
  events.ready = [link](InstanceId other) { link->sender = other; };
  events.frame = [link](std::uint64_t correlation, std::string_view message) {
    return OnFrame(link, correlation, message);
  };
  events.withdrawn = [](std::uint64_t, bool) {};
  events.closed = [link](const PeerLink::End& end) { OnClosed(link, end); };
  accepted->Start(std::move(events));
}

}  // namespace

class PeerServer::Impl {
 public:
  Impl(WorkerPool& workers, InstanceId self, std::string&& key, Handler handler)
      : state_(std::make_shared<ServerState>()),
        acceptor_(workers, [&workers, state = state_](const AcceptedSocket& socket) {
          Open(workers, state, socket);
        }) {
    state_->key = std::make_shared<AuthenticationKey>(key);
    state_->self = self;
    state_->handler = std::move(handler);
  }

  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
    return acceptor_.Listen(endpoint);
  }

  auto Stop() -> void {
    if (state_->stopped.exchange(true)) return;
    acceptor_.Stop();
    const std::lock_guard lock(state_->mutex);
    for (const auto& link : state_->links) {
      link->Close(absl::CancelledError("the peer server has stopped"));
    }
    state_->links.clear();
  }

  auto state() const -> const ServerState& { return *state_; }

 private:
  const std::shared_ptr<ServerState> state_;
  TcpAcceptor acceptor_;
};

PeerServer::PeerServer(WorkerPool& workers, InstanceId self, std::string key, Handler handler)
    : impl_(std::make_shared<Impl>(workers, self, std::move(key), std::move(handler))) {}

PeerServer::~PeerServer() { impl_->Stop(); }

auto PeerServer::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->Listen(endpoint);
}

auto PeerServer::Stop() -> void { impl_->Stop(); }

auto PeerServer::active_requests() const -> std::size_t { return impl_->state().active.load(); }

auto PeerServer::rejected_frames() const -> std::uint64_t { return impl_->state().rejected.load(); }

}  // namespace heatherspan
