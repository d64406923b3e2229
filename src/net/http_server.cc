#include "net/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "net/http_connection.h"
#include "net/http_server_state.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::ip::tcp::socket;
using Acceptor = asio::ip::tcp::acceptor;
using ErrorCode = boost::system::error_code;

// Connections beyond the limit that may still be open to read their 503.
constexpr std::size_t kMaxRefusedConnections = 64;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr auto kMinSweepInterval = std::chrono::milliseconds(5);
constexpr auto kMaxSweepInterval = std::chrono::milliseconds(500);

auto EndpointOf(const asio::ip::tcp::endpoint& from) -> Endpoint {
  auto address = from.address();
  if (address.is_v6() && address.to_v6().is_v4_mapped()) {
    address = asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6());
  }
  return {address.to_string(), from.port()};
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(WorkerPool& workers, Limits limits, Handler handler)
      : workers_(workers),
        strand_(asio::make_strand(workers.context())),
        acceptor_(strand_),
        retry_timer_(strand_),
        sweep_timer_(strand_),
        state_(std::make_shared<HttpServerState>()) {
    state_->limits = limits;
    state_->handler = std::move(handler);
  }

  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
    ErrorCode error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) return ListenError(endpoint, error);
    const asio::ip::tcp::endpoint local(address, endpoint.port);
    acceptor_.open(local.protocol(), error);
    if (!error) acceptor_.set_option(Acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(local, error);
    if (!error) acceptor_.listen(Acceptor::max_listen_connections, error);
    if (error) return ListenError(endpoint, error);
    const auto bound = EndpointOf(acceptor_.local_endpoint(error));
    if (error) return ListenError(endpoint, error);
    asio::post(strand_, [self = shared_from_this()] {
      self->Accept();
      self->Sweep();
    });
    return bound;
  }

  auto BeginDrain() -> void {
    state_->draining.store(true);
    const std::lock_guard lock(state_->mutex);
    for (const auto& connection : state_->connections) connection->CloseIfIdle();
  }

  auto Stop() -> void {
    if (state_->stopped.exchange(true)) return;
    asio::post(strand_, [self = shared_from_this()] {
      ErrorCode ignored;
      self->acceptor_.close(ignored);
      self->retry_timer_.cancel();
      self->sweep_timer_.cancel();
    });
    // The posted tasks keep the connections; if the workers have stopped, they go with them.
    const std::lock_guard lock(state_->mutex);
    for (const auto& connection : state_->connections) connection->Close();
    state_->connections.clear();
  }

  auto state() const -> const HttpServerState& { return *state_; }

 private:
  static auto ListenError(const Endpoint& endpoint, const ErrorCode& error) -> absl::Status {
    return absl::UnavailableError(
        fmt::format("cannot listen on {}: {}", endpoint.Text(), error.message()));
  }

  auto Accept() -> void {
    acceptor_.async_accept([self = shared_from_this()](const ErrorCode& error, Socket socket) {
      self->OnAccept(error, std::move(socket));
    });
  }

  auto OnAccept(const ErrorCode& error, Socket socket) -> void {
    if (state_->stopped.load()) return;
    if (error) {
      // Out of file descriptors, for example: the next attempt may succeed.
      retry_timer_.expires_after(kAcceptRetryDelay);
      retry_timer_.async_wait([self = shared_from_this()](const ErrorCode& cancelled) {
        if (!cancelled) self->Accept();
      });
      return;
    }
    Open(std::move(socket));
    Accept();
  }

  auto Open(Socket socket) -> void {
    ErrorCode error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    const auto remote = socket.remote_endpoint(error);
    if (error) return;
    bool refused = false;
    std::shared_ptr<HttpConnection> connection;
    {
      const std::lock_guard lock(state_->mutex);
      // Stop clears the set under this mutex; a connection added later would stay open.
      if (state_->stopped.load()) return;
      const auto open = state_->connections.size();
      refused = open >= state_->limits.max_connections;
      if (refused) state_->too_many_connections.fetch_add(1);
      if (open >= state_->limits.max_connections + kMaxRefusedConnections) return;
      const auto native = socket.release(error);
      if (error) return;
      connection = HttpConnection::Create(workers_, native, remote.address().is_v6(),
                                          EndpointOf(remote), state_);
      state_->connections.insert(connection);
    }
    refused ? connection->StartRefused() : connection->Start();
  }

  /// One timer serves the deadlines of all connections, so that a request arms none.
  auto Sweep() -> void {
    const auto& limits = state_->limits;
    const auto shortest = std::min({limits.request_timeout, limits.idle_timeout,
                                    limits.write_timeout, Duration(HttpConnection::kLingerTime)});
    sweep_timer_.expires_after(
        std::clamp<Duration>(shortest / 4, kMinSweepInterval, kMaxSweepInterval));
    sweep_timer_.async_wait([self = shared_from_this()](const ErrorCode& cancelled) {
      if (cancelled || self->state_->stopped.load()) return;
      self->CloseOverdue();
      self->Sweep();
    });
  }

  auto CloseOverdue() -> void {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(state_->mutex);
    for (const auto& connection : state_->connections) {
      if (connection->Overdue(now)) connection->EndOverdue();
    }
  }

  WorkerPool& workers_;
  Strand strand_;
  Acceptor acceptor_;
  asio::steady_timer retry_timer_;
  asio::steady_timer sweep_timer_;
  const std::shared_ptr<HttpServerState> state_;
};

HttpServer::HttpServer(WorkerPool& workers, Limits limits, Handler handler)
    : impl_(std::make_shared<Impl>(workers, limits, std::move(handler))) {}

HttpServer::~HttpServer() { impl_->Stop(); }

auto HttpServer::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->Listen(endpoint);
}

auto HttpServer::BeginDrain() -> void { impl_->BeginDrain(); }

auto HttpServer::Stop() -> void { impl_->Stop(); }

auto HttpServer::active_requests() const -> std::size_t { return impl_->state().active.load(); }

auto HttpServer::counters() const -> Counters {
  const auto& state = impl_->state();
  return {.bad_request = state.bad_request.load(),
          .header_too_large = state.header_too_large.load(),
          .body_too_large = state.body_too_large.load(),
          .request_timeout = state.request_timeout.load(),
          .too_many_connections = state.too_many_connections.load()};
}

}  // namespace heatherspan
