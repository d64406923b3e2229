#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "base/endpoint.h"

namespace heatherspan {

/// A blocking TCP socket that sends exactly the bytes that a test asks for. Each operation ends
/// after 10 s at the latest.
class RawSocket {
 public:
  static auto Connect(const Endpoint& endpoint) -> RawSocket;
  /// Also has the kernels of both sides hold few bytes that are not read.
  static auto ConnectWithSmallWindow(const Endpoint& endpoint) -> RawSocket;

  explicit RawSocket(int descriptor) : descriptor_(descriptor) {}
  ~RawSocket();
  RawSocket(RawSocket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  auto operator=(RawSocket&& other) noexcept -> RawSocket& {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }

  auto Send(std::string_view bytes) const -> bool;
  /// Sends unless the peer reads nothing for a while. Returns whether all bytes were taken.
  auto TrySend(std::string_view bytes) const -> bool;
  /// Reads until the text has come; returns all that was read, also if the peer closed before.
  auto ReadUntil(std::string_view text) const -> std::string;
  auto ReadSize(std::size_t size) const -> std::string;
  auto ReadUntilClosed() const -> std::string;
  auto Close() -> void;
  /// Ends the sending direction only.
  auto Shutdown() const -> void;
  /// Closes with a reset.
  auto Reset() -> void;
  auto descriptor() const -> int { return descriptor_; }

 private:
  auto ConnectTo(const Endpoint& endpoint) -> void;
  auto ReadSome(std::string& out, std::size_t limit) const -> bool;

  int descriptor_;
};

/// Accepts connections on a free loopback port.
class RawListener {
 public:
  RawListener();

  auto endpoint() const -> const Endpoint& { return endpoint_; }
  auto Accept() const -> RawSocket;
  auto descriptor() const -> int { return descriptor_; }

 private:
  RawSocket socket_;
  int descriptor_ = -1;
  Endpoint endpoint_;
};

}  // namespace heatherspan
