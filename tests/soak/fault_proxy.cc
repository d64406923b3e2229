#include "soak/fault_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <map>
#include <random>
#include <string_view>
#include <utility>

#include "base/random.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBufferBytes = 16384;
/// How often held bytes look whether they may go on.
constexpr Duration kHoldCheck = std::chrono::milliseconds(20);
/// The longest time after which a response is repeated: while its connection is idle, or after it
/// has taken the next request.
constexpr int kMaxRepeatDelayMs = 60;
/// With Spoil::kStray, the part of the responses that are lost, repeated or added to, and the
/// longest time after which stray bytes follow.
constexpr double kStrayPart = 0.2;
constexpr int kMaxStrayDelayMs = 500;
constexpr std::string_view kIdField = "Heatherspan-Request-Id";
constexpr std::string_view kNoResponse = "\x7f stray";
/// A response that belongs to no request.
constexpr std::string_view kExtraResponse =
    "HTTP/1.1 200 OK\r\nHeatherspan-Request-Id: nobodys\r\n"
    "Heatherspan-Response-Signature: spoiled\r\nContent-Length: 5\r\n\r\nextra";

auto AsioEndpoint(const Endpoint& endpoint) -> tcp::endpoint {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

/// Closes with a reset instead of an orderly end.
auto Reset(tcp::socket& socket) -> void {
  error_code ignored;  // The socket may have been closed by its peer.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

struct Link {
  explicit Link(asio::io_context& context) : client(context), server(context) {}

  tcp::socket client;
  tcp::socket server;
  bool silent = false;
  int party = 0;
  bool is_answering = false;  ///< Bytes are being written to the client.
  std::string last_refusal;
  std::string stray_after_response;  ///< Follows the response that is on its way.
  std::string stray_after_request;   ///< Follows the next request.
  std::string stray_in_response;     ///< Stands in the head of the next response.
};

/// One direction of a link.
struct Pipe {
  Pipe(asio::io_context& context, std::shared_ptr<Link> of, bool up)
      : link(std::move(of)), to_server(up), timer(context) {}

  auto From() -> tcp::socket& { return to_server ? link->client : link->server; }
  auto To() -> tcp::socket& { return to_server ? link->server : link->client; }

  std::shared_ptr<Link> link;
  bool to_server;
  asio::steady_timer timer;
  std::array<char, kBufferBytes> buffer{};
  std::string pending;
  bool break_after = false;
  std::string rest;  ///< Of a response that comes in parts.
};

}  // namespace

class FaultProxy::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, const Endpoint& listen, Endpoint server, PartyOf party_of)
      : context_(context),
        acceptor_(context),
        listen_(AsioEndpoint(listen)),
        server_(std::move(server)),
        party_of_(std::move(party_of)) {
    Listen();
  }

  auto SetListening(bool listening) -> void {
    if (listening == acceptor_.is_open()) return;
    if (listening) {
      Listen();
      Accept();
    } else {
      acceptor_.close();
    }
  }

  auto Accept() -> void {
    auto link = std::make_shared<Link>(context_);
    acceptor_.async_accept(link->client, [self = shared_from_this(), link](error_code error) {
      if (error) return;
      self->Begin(link);
      self->Accept();
    });
  }

  auto Close() -> void {
    error_code ignored;
    acceptor_.close(ignored);
    ResetAll();
  }

  auto ResetAll() -> void {
    for (const auto& link : links_) {
      Reset(link->client);
      Reset(link->server);
    }
    links_.clear();
  }

  auto SetCut(int party, Cut cut) -> void {
    const auto before = std::exchange(cuts_[party], cut);
    if (cut != Cut::kReset && before != Cut::kHang) return;
    for (const auto& link : links_) {
      if (link->party != party) continue;
      Reset(link->client);
      Reset(link->server);
    }
    links_.remove_if([&](const auto& link) { return link->party == party; });
  }

  auto SetBehaviour(const Behaviour& behaviour) -> void {
    if (behaviour.seed != behaviour_.seed) random_.seed(behaviour.seed);
    behaviour_ = behaviour;
  }

  auto SilenceAll() -> void {
    for (const auto& link : links_) link->silent = true;
  }

  auto SetServer(const Endpoint& server) -> void { server_ = server; }
  auto context() -> asio::io_context& { return context_; }

 private:
  auto Listen() -> void {
    acceptor_.open(listen_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen_);
    acceptor_.listen();
  }

  auto Begin(const std::shared_ptr<Link>& link) -> void {
    if (party_of_) {
      error_code gone;  // The client may have left already.
      const auto client = link->client.remote_endpoint(gone);
      const auto proxy = link->client.local_endpoint(gone);
      link->party = party_of_({client.address().to_string(), client.port()},
                              {proxy.address().to_string(), proxy.port()});
    }
    const auto cut = CutOf(*link);
    if (behaviour_.refuse || cut == Cut::kReset || cut == Cut::kRefuseNew) {
      Reset(link->client);
      return;
    }
    link->server.async_connect(AsioEndpoint(server_),
                               [self = shared_from_this(), link](error_code error) {
                                 if (error) {
                                   Reset(link->client);
                                   return;
                                 }
                                 self->Forward(link);
                               });
  }

  auto Forward(const std::shared_ptr<Link>& link) -> void {
    error_code ignored;
    link->client.set_option(tcp::no_delay(true), ignored);
    link->server.set_option(tcp::no_delay(true), ignored);
    links_.remove_if([](const auto& other) { return !other->client.is_open(); });
    links_.push_back(link);
    for (const bool up : {true, false}) {
      Read(std::make_shared<Pipe>(context_, link, up));
    }
  }

  auto Read(const std::shared_ptr<Pipe>& pipe) -> void {
    pipe->From().async_read_some(
        asio::buffer(pipe->buffer),
        [self = shared_from_this(), pipe](error_code error, std::size_t count) {
          if (error == asio::error::eof) {
            // The end travels like bytes do: not while they are held up.
            pipe->pending.clear();
            self->Deliver(pipe, true);
            return;
          }
          if (error) {
            self->Break(*pipe->link);
            return;
          }
          pipe->pending.assign(pipe->buffer.data(), count);
          if (!pipe->to_server) self->SpoilBytes(*pipe);
          if (!pipe->to_server && self->behaviour_.spoil == Spoil::kStray) self->Stray(pipe);
          self->Deliver(pipe, false);
        });
  }

  auto SpoilBytes(Pipe& pipe) const -> void {
    if (behaviour_.spoil == Spoil::kExtra) pipe.pending += kExtraResponse;
    if (behaviour_.spoil == Spoil::kTruncate) {
      pipe.pending.resize(pipe.pending.size() / 2);
      pipe.break_after = true;
    }
  }

  auto Draw(int most) -> int { return std::uniform_int_distribution(0, most)(random_); }

  auto DrawStrayBytes(const Pipe& pipe) -> std::string {
    const auto& response = pipe.pending;
    const auto& refusal = pipe.link->last_refusal;
    const std::string kinds[] = {std::string(kExtraResponse), std::string(kNoResponse),
                                 response.substr(0, response.size() / 2),
                                 refusal.empty() ? response : refusal, response};
    return kinds[Draw(4)];
  }

  /// Draws what becomes of a response.
  auto Stray(const std::shared_ptr<Pipe>& pipe) -> void {
    auto& link = *pipe->link;
    auto& response = pipe->pending;
    if (response.starts_with("HTTP/1.1 503") || response.starts_with("HTTP/1.1 421")) {
      link.last_refusal = response;
    }
    if (!link.stray_in_response.empty()) {
      // Not behind the request's id: a body with stray bytes can't be told from a whole one.
      const auto end =
          std::min({response.find(kIdField), response.find("\r\n\r\n"), response.size()});
      const auto at = static_cast<std::size_t>(Draw(static_cast<int>(end)));
      pipe->rest = std::exchange(link.stray_in_response, {}) + response.substr(at);
      response.resize(at);
      return;
    }
    if (!std::bernoulli_distribution(kStrayPart)(random_)) return;
    const auto bytes = DrawStrayBytes(*pipe);
    switch (Draw(5)) {
      case 0:
        response += bytes;
        break;
      case 1:
        link.stray_after_request = bytes;
        break;
      case 2:
        // A part of a head would leave a whole response with another signature.
        link.stray_in_response = bytes.find("\r\n\r\n") == bytes.npos ? response : bytes;
        break;
      case 3:  // The answer is lost.
        response.clear();
        if (Draw(1) == 0) {
          link.silent = true;
        } else {
          Reset(link.client);
          Reset(link.server);
        }
        break;
      default:
        link.stray_after_response = bytes;
    }
  }

  /// Sends bytes to the client outside of what the server answers.
  auto SendLater(const std::shared_ptr<Link>& link, std::string bytes, Duration delay) -> void {
    auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(delay);
    timer->async_wait([timer, link, bytes = std::move(bytes)](error_code /*never cancelled*/) {
      if (link->is_answering || !link->client.is_open()) return;
      error_code ignored;  // The client may have closed the connection.
      asio::write(link->client, asio::buffer(bytes), ignored);
    });
  }

  /// After the delay, and as soon as the direction is open.
  auto Deliver(const std::shared_ptr<Pipe>& pipe, bool end) -> void {
    auto wait = behaviour_.delay;
    const auto& bounded = behaviour_.bounded_parties;
    if (behaviour_.bytes_per_second > 0 &&
        (bounded.empty() || bounded.contains(pipe->link->party))) {
      wait += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(pipe->pending.size()) / behaviour_.bytes_per_second));
    }
    pipe->timer.expires_after(wait);
    pipe->timer.async_wait([self = shared_from_this(), pipe, end](error_code error) {
      if (!error) self->WriteWhenOpen(pipe, end);
    });
  }

  auto Hold(const std::shared_ptr<Pipe>& pipe, bool end) -> void {
    pipe->timer.expires_after(kHoldCheck);
    pipe->timer.async_wait([self = shared_from_this(), pipe, end](error_code error) {
      if (!error) self->WriteWhenOpen(pipe, end);
    });
  }

  auto WriteWhenOpen(const std::shared_ptr<Pipe>& pipe, bool end) -> void {
    if (!pipe->link->client.is_open()) return;
    const bool open = pipe->to_server ? behaviour_.forward_to_server : behaviour_.forward_to_client;
    if (!open || pipe->link->silent || CutOf(*pipe->link) == Cut::kHang) {
      Hold(pipe, end);
      return;
    }
    if (end) {
      error_code ignored;
      pipe->To().shutdown(tcp::socket::shutdown_send, ignored);
      if (pipe->to_server) Break(*pipe->link);
      return;
    }
    if (!pipe->to_server) pipe->link->is_answering = true;
    asio::async_write(pipe->To(), asio::buffer(pipe->pending),
                      [self = shared_from_this(), pipe](error_code error, std::size_t /*count*/) {
                        self->AfterWrite(*pipe);
                        if (error || pipe->break_after) {
                          self->Break(*pipe->link);
                          return;
                        }
                        if (!pipe->rest.empty()) {
                          pipe->pending = std::exchange(pipe->rest, {});
                          self->Hold(pipe, false);
                          return;
                        }
                        self->Read(pipe);
                      });
  }

  auto AfterWrite(const Pipe& pipe) -> void {
    auto& link = *pipe.link;
    if (pipe.to_server) {
      if (link.stray_after_request.empty()) return;
      SendLater(pipe.link, std::exchange(link.stray_after_request, {}),
                std::chrono::milliseconds(Draw(kMaxRepeatDelayMs)));
      return;
    }
    link.is_answering = false;
    if (!link.stray_after_response.empty()) {
      // Short delays as often as long ones.
      SendLater(pipe.link, std::exchange(link.stray_after_response, {}),
                std::chrono::milliseconds(1 + Draw(Draw(kMaxStrayDelayMs))));
    }
    if (behaviour_.spoil != Spoil::kRepeat) return;
    SendLater(pipe.link, pipe.pending,
              std::chrono::milliseconds(1 + repeats_++ * 7 % kMaxRepeatDelayMs));
  }

  auto CutOf(const Link& link) const -> Cut {
    const auto cut = cuts_.find(link.party);
    return cut == cuts_.end() ? Cut::kNone : cut->second;
  }

  static auto Break(Link& link) -> void {
    error_code ignored;
    link.client.close(ignored);
    link.server.close(ignored);
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  tcp::endpoint listen_;
  Endpoint server_;
  PartyOf party_of_;
  std::map<int, Cut> cuts_;
  std::list<std::shared_ptr<Link>> links_;
  Behaviour behaviour_;
  int repeats_ = 0;
  Random random_;
};

FaultProxy::FaultProxy(WorkerPool& workers, const Endpoint& listen, Endpoint server,
                       PartyOf party_of)
    : impl_(std::make_shared<Impl>(workers.context(), listen, std::move(server),
                                   std::move(party_of))) {
  asio::post(impl_->context(), [impl = impl_] { impl->Accept(); });
}

FaultProxy::~FaultProxy() {
  asio::post(impl_->context(), [impl = impl_] { impl->Close(); });
}

auto FaultProxy::SetBehaviour(const Behaviour& behaviour) -> void {
  asio::post(impl_->context(), [impl = impl_, behaviour] { impl->SetBehaviour(behaviour); });
}

auto FaultProxy::SetServer(const Endpoint& server) -> void {
  asio::post(impl_->context(), [impl = impl_, server] { impl->SetServer(server); });
}

auto FaultProxy::SetCut(int party, Cut cut) -> void {
  asio::post(impl_->context(), [impl = impl_, party, cut] { impl->SetCut(party, cut); });
}

auto FaultProxy::SetListening(bool listening) -> void {
  asio::post(impl_->context(), [impl = impl_, listening] { impl->SetListening(listening); });
}

auto FaultProxy::ResetConnections() -> void {
  asio::post(impl_->context(), [impl = impl_] { impl->ResetAll(); });
}

auto FaultProxy::SilenceConnections() -> void {
  asio::post(impl_->context(), [impl = impl_] { impl->SilenceAll(); });
}

}  // namespace heatherspan
