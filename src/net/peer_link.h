#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "wire/authentication_key.h"

namespace heatherspan {

class WorkerPool;
struct AcceptedSocket;

/// One side of a TCP connection between two entry VMs: the handshake, authenticated frames, a
/// bounded write queue. Thread-safe: the methods post to the link's strand, on which the events
/// come.
class PeerLink {
 public:
  /// Frames that wait to be written. Beyond this, Send refuses further ones.
  static constexpr std::size_t kMaxQueuedBytes = std::size_t{32} * 1024 * 1024;
  static constexpr auto kHandshakeTimeout = std::chrono::seconds(5);

  /// How a link ended.
  struct End {
    absl::Status status;
    /// The other side failed authentication or sent a malformed frame.
    bool rejected = false;
    /// Frames of which no byte was written.
    std::vector<std::uint64_t> unwritten;
  };

  struct Events {
    /// The handshake has ended; frames may be sent.
    std::function<void(InstanceId other)> ready;
    /// A frame has come. False closes the link as one that sent a malformed frame.
    std::function<bool(std::uint64_t correlation, std::string_view message)> frame;
    /// The answer to Withdraw.
    std::function<void(std::uint64_t correlation, bool unwritten)> withdrawn;
    /// The last event.
    std::function<void(const End& end)> closed;
  };

  /// Starts to connect at once.
  static auto Connect(WorkerPool& workers, const Endpoint& endpoint,
                      std::shared_ptr<const AuthenticationKey> key, InstanceId self, Events events)
      -> std::shared_ptr<PeerLink>;
  /// Takes the socket over; the caller starts the link.
  static auto Accept(WorkerPool& workers, const AcceptedSocket& socket,
                     std::shared_ptr<const AuthenticationKey> key, InstanceId self)
      -> std::shared_ptr<PeerLink>;

  /// A buffer for Send that starts with room for the header and the correlation id; the message is
  /// to be appended.
  static auto BeginFrame(std::uint64_t correlation) -> std::string;
  /// Whether the buffer is short enough for Send.
  static auto FrameFits(const std::string& frame) -> bool;

  PeerLink() = default;
  virtual ~PeerLink() = default;
  PeerLink(const PeerLink&) = delete;
  auto operator=(const PeerLink&) -> PeerLink& = delete;

  virtual auto Start(Events events) -> void = 0;
  /// Queues a frame. False if the queue is full.
  virtual auto Send(std::uint64_t correlation, std::string frame) -> bool = 0;
  /// Takes a frame out of the queue, unless its write has begun.
  virtual auto Withdraw(std::uint64_t correlation) -> void = 0;
  virtual auto Close(absl::Status status) -> void = 0;
};

}  // namespace heatherspan
