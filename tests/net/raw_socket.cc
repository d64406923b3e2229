#include "raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>

namespace heatherspan {
namespace {

constexpr int kTimeoutMs = 10'000;
constexpr int kTrySendTimeoutMs = 500;

auto LoopbackAddress(std::uint16_t port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

auto WaitFor(int descriptor, std::int16_t events, int timeout_ms = kTimeoutMs) -> bool {
  pollfd entry{.fd = descriptor, .events = events, .revents = 0};
  return ::poll(&entry, 1, timeout_ms) == 1;
}

auto SendAll(int descriptor, std::string_view bytes, int timeout_ms) -> bool {
  while (!bytes.empty()) {
    if (!WaitFor(descriptor, POLLOUT, timeout_ms)) return false;
    const auto sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

}  // namespace

auto RawSocket::Connect(const Endpoint& endpoint) -> RawSocket {
  RawSocket own(::socket(AF_INET, SOCK_STREAM, 0));
  own.ConnectTo(endpoint);
  return own;
}

auto RawSocket::ConnectWithSmallWindow(const Endpoint& endpoint) -> RawSocket {
  constexpr int kWindowBytes = 4096;
  // The peer's kernel sizes its send buffer by the size of a segment.
  constexpr int kSegmentBytes = 536;
  RawSocket own(::socket(AF_INET, SOCK_STREAM, 0));
  ::setsockopt(own.descriptor_, SOL_SOCKET, SO_RCVBUF, &kWindowBytes, sizeof(kWindowBytes));
  ::setsockopt(own.descriptor_, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
  own.ConnectTo(endpoint);
  return own;
}

auto RawSocket::ConnectTo(const Endpoint& endpoint) -> void {
  auto address = LoopbackAddress(endpoint.port);
  ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    Close();
  }
}

RawSocket::~RawSocket() { Close(); }

auto RawSocket::Close() -> void {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

auto RawSocket::Shutdown() const -> void { ::shutdown(descriptor_, SHUT_WR); }

auto RawSocket::Reset() -> void {
  if (descriptor_ < 0) return;
  const linger abort{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  Close();
}

auto RawSocket::Send(std::string_view bytes) const -> bool {
  return SendAll(descriptor_, bytes, kTimeoutMs);
}

auto RawSocket::TrySend(std::string_view bytes) const -> bool {
  return SendAll(descriptor_, bytes, kTrySendTimeoutMs);
}

auto RawSocket::ReadSome(std::string& out, std::size_t limit) const -> bool {
  std::array<char, 65536> buffer;
  if (!WaitFor(descriptor_, POLLIN)) return false;
  const auto size = ::recv(descriptor_, buffer.data(), std::min(limit, buffer.size()), 0);
  if (size <= 0) return false;
  out.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

auto RawSocket::ReadUntil(std::string_view text) const -> std::string {
  std::string out;
  while (out.find(text) == std::string::npos && ReadSome(out, 1)) {
  }
  return out;
}

auto RawSocket::ReadSize(std::size_t size) const -> std::string {
  std::string out;
  while (out.size() < size && ReadSome(out, size - out.size())) {
  }
  return out;
}

auto RawSocket::ReadUntilClosed() const -> std::string {
  std::string out;
  while (ReadSome(out, std::numeric_limits<std::size_t>::max())) {
  }
  return out;
}

RawListener::RawListener() : socket_(-1) {
  descriptor_ = ::socket(AF_INET, SOCK_STREAM, 0);
  socket_ = RawSocket(descriptor_);
  auto address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(descriptor_, generic, size) != 0 || ::listen(descriptor_, 16) != 0 ||
      ::getsockname(descriptor_, generic, &size) != 0) {
    return;
  }
  endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
}

auto RawListener::Accept() const -> RawSocket {
  if (!WaitFor(descriptor_, POLLIN)) return RawSocket(-1);
  return RawSocket(::accept(descriptor_, nullptr, nullptr));
}

}  // namespace heatherspan
