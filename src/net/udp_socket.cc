#include "net/udp_socket.h"

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <utility>

#include "fmt/format.h"
#include "net/worker_pool.h"
#include "wire/authentication_key.h"
#include "wire/message_codec.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

auto EndpointOf(const Udp::endpoint& from) -> Endpoint {
  auto address = from.address();
  if (address.is_v6() && address.to_v6().is_v4_mapped()) {
    address = asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6());
  }
  return {address.to_string(), from.port()};
}

auto ListenError(const Endpoint& endpoint, const ErrorCode& error) -> absl::Status {
  return absl::UnavailableError(
      fmt::format("cannot receive datagrams on {}: {}", endpoint.Text(), error.message()));
}

}  // namespace

class UdpSocket::Impl : public std::enable_shared_from_this<UdpSocket::Impl> {
 public:
  Impl(WorkerPool& workers, InstanceId self, std::string&& key, Handler handler)
      : strand_(asio::make_strand(workers.context())),
        socket_(strand_),
        self_(self),
        key_(AuthenticationKey(key).Derive("datagram", {})),
        handler_(std::move(handler)) {}

  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
    const std::lock_guard lock(mutex_);
    ErrorCode error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) return ListenError(endpoint, error);
    const Udp::endpoint local(address, endpoint.port);
    socket_.open(local.protocol(), error);
    if (!error) socket_.bind(local, error);
    // A full send buffer drops the datagram, as the network would; a send never waits.
    if (!error) socket_.non_blocking(true, error);
    if (error) return ListenError(endpoint, error);
    const auto bound = EndpointOf(socket_.local_endpoint(error));
    if (error) return ListenError(endpoint, error);
    asio::post(strand_, [self = shared_from_this()] { self->Receive(); });
    return bound;
  }

  auto Send(const Endpoint& to, const Datagram& datagram) -> void {
    ErrorCode error;
    const auto address = asio::ip::make_address(to.address, error);
    const auto bytes = SealDatagram(key_, self_, sequence_.fetch_add(1), datagram);
    if (error || !bytes.ok()) {
      rejected_.fetch_add(1);
      return;
    }
    const std::lock_guard lock(mutex_);
    if (!socket_.is_open()) return;
    const auto size = socket_.send_to(asio::buffer(*bytes), {address, to.port}, 0, error);
    if (error) return;
    sent_.fetch_add(1);
    sent_bytes_.fetch_add(size);
  }

  auto Stop() -> void {
    if (stopped_.exchange(true)) return;
    asio::post(strand_, [self = shared_from_this()] {
      const std::lock_guard lock(self->mutex_);
      ErrorCode ignored;
      self->socket_.close(ignored);
    });
  }

  auto counters() const -> Counters {
    return {.sent = sent_.load(),
            .sent_bytes = sent_bytes_.load(),
            .received = received_.load(),
            .received_bytes = received_bytes_.load(),
            .rejected = rejected_.load()};
  }

 private:
  auto Receive() -> void {
    if (stopped_.load()) return;
    const std::lock_guard lock(mutex_);
    socket_.async_receive_from(
        asio::buffer(buffer_), from_,
        [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
          if (self->stopped_.load() || error == asio::error::operation_aborted) return;
          // Other errors, such as a refused earlier datagram, concern no datagram received.
          if (!error) self->OnDatagram({self->buffer_.data(), size});
          self->Receive();
        });
  }

  auto OnDatagram(std::string_view bytes) -> void {
    const auto opened = OpenEnvelope(key_, bytes);
    if (!opened.ok()) {
      rejected_.fetch_add(1);
      return;
    }
    auto datagram = DecodeDatagram(opened->payload);
    if (!datagram.ok()) {
      rejected_.fetch_add(1);
      return;
    }
    received_.fetch_add(1);
    received_bytes_.fetch_add(bytes.size());
    handler_(opened->sender, EndpointOf(from_), *std::move(datagram));
  }

  asio::strand<asio::io_context::executor_type> strand_;
  std::mutex mutex_;  // Guards the socket, which any thread may send on.
  Udp::socket socket_;
  const InstanceId self_;
  const AuthenticationKey key_;
  const Handler handler_;
  // One byte more than allowed, so that a longer datagram shows by its length.
  std::array<char, kMaxDatagramBytes + 1> buffer_{};
  Udp::endpoint from_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> sequence_{1};
  std::atomic<std::uint64_t> sent_{0};
  std::atomic<std::uint64_t> sent_bytes_{0};
  std::atomic<std::uint64_t> received_{0};
  std::atomic<std::uint64_t> received_bytes_{0};
  std::atomic<std::uint64_t> rejected_{0};
};

UdpSocket::UdpSocket(WorkerPool& workers, InstanceId self, std::string key, Handler handler)
    : impl_(std::make_shared<Impl>(workers, self, std::move(key), std::move(handler))) {}

UdpSocket::~UdpSocket() { impl_->Stop(); }

auto UdpSocket::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->Listen(endpoint);
}

auto UdpSocket::Send(const Endpoint& to, const Datagram& datagram) -> void {
  impl_->Send(to, datagram);
}

auto UdpSocket::Stop() -> void { impl_->Stop(); }

auto UdpSocket::counters() const -> Counters { return impl_->counters(); }

}  // namespace heatherspan
