#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/peer_client.h"
#include "net/peer_link.h"
#include "net/worker_pool.h"
#include "wire/authentication_key.h"

namespace heatherspan {

/// The calls to one peer. It connects when a call needs a link, and again after the link was lost.
/// Thread-safe; callbacks run on workers with no lock held.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  /// Calls that wait for an answer; further ones fail at once.
  static constexpr std::size_t kMaxPendingCalls = 1024;
  /// Frames that wait for the link to be ready; they hold as much as the link's own queue.
  static constexpr std::size_t kMaxWaitingBytes = PeerLink::kMaxQueuedBytes;
  /// An unused link is closed after this time.
  static constexpr auto kIdleTimeout = std::chrono::seconds(60);

  PeerChannel(WorkerPool& workers, Endpoint peer, std::shared_ptr<const AuthenticationKey> key,
              InstanceId self);

  auto Call(InstanceId expected, const PeerRequest& request, Duration timeout,
            PeerClient::Callback callback) -> void;
  auto Stop() -> void;

 private:
  struct PendingCall {
    InstanceId expected;
    PeerClient::Callback callback;
    MonotonicTime deadline;
    std::string frame;  ///< Until it is given to the link.
    bool one_way = false;
    bool sent = false;  ///< The link has the frame.
    bool withdrawn =
        false;  ///< The deadline has passed; the link was asked how far the frame came.
  };

  using Calls = std::map<std::uint64_t, PendingCall>;
  /// Callbacks to run once the lock is released.
  using Results = std::vector<std::pair<PeerClient::Callback, PeerResult>>;

  auto OnReady(std::uint64_t link_number, InstanceId other) -> void;
  auto OnFrame(std::uint64_t link_number, std::uint64_t correlation, std::string_view message)
      -> bool;
  auto OnWithdrawn(std::uint64_t link_number, std::uint64_t correlation, bool unwritten) -> void;
  auto OnClosed(std::uint64_t link_number, const PeerLink::End& end) -> void;
  auto OnTimer() -> void;

  // These need the lock.
  auto OpenLink() -> void;
  auto SendCall(std::uint64_t correlation, Results& results) -> void;
  auto FinishCall(Calls::iterator call, absl::Status status, SendProgress progress,
                  Results& results) -> void;
  auto ArmTimer(MonotonicTime deadline) -> void;

  auto RunLater(Results results) -> void;

  WorkerPool& workers_;
  const Endpoint peer_;
  const std::shared_ptr<const AuthenticationKey> key_;
  const InstanceId self_;

  std::mutex mutex_;
  bool stopped_ = false;
  std::shared_ptr<PeerLink> link_;
  std::uint64_t link_number_ = 0;    ///< Events of earlier links are told by it.
  std::optional<InstanceId> other_;  ///< Set once the link is ready.
  std::atomic<std::uint64_t> next_correlation_{1};
  Calls calls_;
  std::size_t waiting_bytes_ = 0;  ///< Of the frames that no link has yet.
  std::set<std::pair<MonotonicTime, std::uint64_t>> deadlines_;
  MonotonicTime last_call_;
  MonotonicTime armed_until_ = MonotonicTime::max();
  std::shared_ptr<WorkerPool::Timer> timer_;
};

}  // namespace heatherspan
