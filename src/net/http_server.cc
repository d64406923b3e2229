#include "net/http_server.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

#include "net/http_connection.h"
#include "net/http_server_state.h"
#include "net/input_refusal.h"
#include "net/tcp_acceptor.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

// Connections beyond the limit that may still be open to read their 503: one for so many, and at
// most so many.
constexpr std::size_t kConnectionsForOneRefused = 16;
constexpr std::size_t kMaxRefusedConnections = 64;
constexpr auto kMinSweepInterval = std::chrono::milliseconds(5);
constexpr auto kMaxSweepInterval = std::chrono::milliseconds(500);

auto ReportDropped(const HttpServerState& state, Endpoint remote) -> void {
  if (!state.on_refusal) return;
  const auto limits = state.limits.load();
  InputRefusal refusal;
  refusal.cause = InputRefusal::Cause::kTooManyConnections;
  refusal.remote = std::move(remote);
  refusal.max_header_bytes = limits->max_header_bytes;
  refusal.max_body_bytes = limits->max_body_bytes;
  refusal.max_connections = limits->max_connections;
  state.on_refusal(refusal);
}

auto MaxRefused(const HttpServer::Limits& limits) -> std::size_t {
  return std::clamp<std::size_t>(limits.max_connections / kConnectionsForOneRefused, 1,
                                 kMaxRefusedConnections);
}

auto Open(WorkerPool& workers, const std::shared_ptr<HttpServerState>& state, AcceptedSocket socket)
    -> void {
  bool refused = false;
  bool dropped = false;
  std::shared_ptr<HttpConnection> connection;
  {
    const std::lock_guard lock(state->mutex);
    const auto open = state->connections.size();
    const auto limits = state->limits.load();
    const bool full = open >= limits->max_connections;
    // Stop empties the set under this mutex; a connection added later would stay open.
    dropped = state->stopped.load() || open >= limits->max_connections + MaxRefused(*limits);
    if (full) {
      refused = dropped ||
                !state->evictions.EvictOne(state->connections, std::chrono::steady_clock::now());
      auto& counter = refused ? state->too_many_connections : state->evicted;
      counter.fetch_add(1);
    }
    if (!dropped) {
      connection = HttpConnection::Create(workers, socket.descriptor, socket.is_v6,
                                          std::move(socket.remote), state);
      state->connections.insert(connection);
    }
  }
  if (dropped) {
    ::close(socket.descriptor);
    if (refused) ReportDropped(*state, std::move(socket.remote));
    return;
  }
  refused ? connection->StartRefused() : connection->Start();
}

auto CloseOverdue(HttpServerState& state) -> void {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(state.mutex);
  for (const auto& connection : state.connections) {
    if (connection->Overdue(now)) connection->EndOverdue();
  }
}

auto SweepInterval(const HttpServer::Limits& limits) -> Duration {
  const auto shortest = std::min({limits.request_timeout, limits.body_timeout, limits.idle_timeout,
                                  limits.write_timeout, Duration(HttpConnection::kLingerTime)});
  return std::clamp<Duration>(shortest / 4, kMinSweepInterval, kMaxSweepInterval);
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(WorkerPool& workers, Limits limits, Handler handler, std::shared_ptr<MemoryAccount> memory)
      : workers_(workers),
        state_(std::make_shared<HttpServerState>(
            memory == nullptr ? std::make_shared<MemoryAccount>() : std::move(memory))),
        acceptor_(workers, [&workers, state = state_](AcceptedSocket socket) {
          Open(workers, state, std::move(socket));
        }) {
    SetLimits(limits);
    state_->handler = std::move(handler);
  }

  auto SetRefusalObserver(RefusalObserver observer) -> void {
    state_->on_refusal = std::move(observer);
  }

  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
    auto bound = acceptor_.Listen(endpoint);
    if (!bound.ok()) return bound;
    // One timer serves the deadlines of all connections, so that a request arms none.
    sweep_ = workers_.RunEvery(SweepInterval(*state_->limits.load()),
                               [state = state_] { CloseOverdue(*state); });
    return bound;
  }

  auto SetLimits(const Limits& limits) -> void {
    state_->limits.store(std::make_shared<const Limits>(limits));
  }

  auto StopListening() -> void { acceptor_.Stop(); }

  auto BeginClosing() -> void { state_->closing.store(true); }

  auto BeginDrain() -> void {
    state_->closing.store(true);
    state_->draining.store(true);
    const std::lock_guard lock(state_->mutex);
    for (const auto& connection : state_->connections) connection->CloseIfIdle();
  }

  auto Stop() -> void {
    if (state_->stopped.exchange(true)) return;
    acceptor_.Stop();
    sweep_.reset();
    // The posted tasks keep the connections; if the workers have stopped, they go with them.
    const std::lock_guard lock(state_->mutex);
    for (const auto& connection : state_->connections) connection->Close();
    state_->connections.clear();
  }

  auto state() const -> const HttpServerState& { return *state_; }

 private:
  WorkerPool& workers_;
  const std::shared_ptr<HttpServerState> state_;
  TcpAcceptor acceptor_;
  std::shared_ptr<WorkerPool::Timer> sweep_;
};

HttpServer::HttpServer(WorkerPool& workers, Limits limits, Handler handler,
                       std::shared_ptr<MemoryAccount> memory)
    : impl_(std::make_shared<Impl>(workers, limits, std::move(handler), std::move(memory))) {}

HttpServer::~HttpServer() { impl_->Stop(); }

auto HttpServer::SetRefusalObserver(RefusalObserver observer) -> void {
  impl_->SetRefusalObserver(std::move(observer));
}

auto HttpServer::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->Listen(endpoint);
}

auto HttpServer::SetLimits(const Limits& limits) -> void { impl_->SetLimits(limits); }

auto HttpServer::StopListening() -> void { impl_->StopListening(); }

auto HttpServer::BeginClosing() -> void { impl_->BeginClosing(); }

auto HttpServer::BeginDrain() -> void { impl_->BeginDrain(); }

auto HttpServer::Stop() -> void { impl_->Stop(); }

auto HttpServer::active_requests() const -> std::size_t { return impl_->state().active.load(); }

auto HttpServer::counters() const -> Counters {
  const auto& state = impl_->state();
  return {.bad_request = state.bad_request.load(),
          .header_too_large = state.header_too_large.load(),
          .body_too_large = state.body_too_large.load(),
          .request_timeout = state.request_timeout.load(),
          .too_many_connections = state.too_many_connections.load(),
          .evicted = state.evicted.load(),
          .caller_gone = state.caller_gone.load(),
          .no_memory = state.no_memory.load()};
}

}  // namespace heatherspan
