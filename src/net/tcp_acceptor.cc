#include "net/tcp_acceptor.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "fmt/format.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::ip::tcp::socket;
using Acceptor = asio::ip::tcp::acceptor;
using ErrorCode = boost::system::error_code;

constexpr auto kRetryDelay = std::chrono::milliseconds(100);

auto EndpointOf(const asio::ip::tcp::endpoint& from) -> Endpoint {
  auto address = from.address();
  if (address.is_v6() && address.to_v6().is_v4_mapped()) {
    address = asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6());
  }
  return {address.to_string(), from.port()};
}

auto ListenError(const Endpoint& endpoint, const ErrorCode& error) -> absl::Status {
  return absl::UnavailableError(
      fmt::format("cannot listen on {}: {}", endpoint.Text(), error.message()));
}

}  // namespace

class TcpAcceptor::Impl : public std::enable_shared_from_this<TcpAcceptor::Impl> {
 public:
  Impl(WorkerPool& workers, Handler handler)
      : strand_(asio::make_strand(workers.context())),
        acceptor_(strand_),
        retry_timer_(strand_),
        handler_(std::move(handler)) {}

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
    asio::post(strand_, [self = shared_from_this()] { self->Accept(); });
    return bound;
  }

  auto Stop() -> void {
    if (stopped_.exchange(true)) return;
    asio::post(strand_, [self = shared_from_this()] {
      ErrorCode ignored;
      self->acceptor_.close(ignored);
      self->retry_timer_.cancel();
    });
  }

 private:
  auto Accept() -> void {
    if (stopped_.load()) return;
    acceptor_.async_accept([self = shared_from_this()](const ErrorCode& error, Socket socket) {
      self->OnAccept(error, std::move(socket));
    });
  }

  auto OnAccept(const ErrorCode& error, Socket socket) -> void {
    if (stopped_.load()) return;
    if (error) {
      // Out of file descriptors, for example: the next attempt may succeed.
      retry_timer_.expires_after(kRetryDelay);
      retry_timer_.async_wait([self = shared_from_this()](const ErrorCode& cancelled) {
        if (!cancelled) self->Accept();
      });
      return;
    }
    HandOver(std::move(socket));
    Accept();
  }

  auto HandOver(Socket socket) -> void {
    ErrorCode error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    const auto remote = socket.remote_endpoint(error);
    if (error) return;
    const auto descriptor = socket.release(error);
    if (error) return;
    handler_({descriptor, remote.address().is_v6(), EndpointOf(remote)});
  }

  Strand strand_;
  Acceptor acceptor_;
  asio::steady_timer retry_timer_;
  const Handler handler_;
  std::atomic<bool> stopped_{false};
};

TcpAcceptor::TcpAcceptor(WorkerPool& workers, Handler handler)
    : impl_(std::make_shared<Impl>(workers, std::move(handler))) {}

TcpAcceptor::~TcpAcceptor() { impl_->Stop(); }

auto TcpAcceptor::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->Listen(endpoint);
}

auto TcpAcceptor::Stop() -> void { impl_->Stop(); }

}  // namespace heatherspan
