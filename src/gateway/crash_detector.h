#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/crash_report.h"
#include "gateway/request_digest.h"

namespace heatherspan {

/// A request whose connection its target closed without an answer.
struct LostRequest {
  RequestDigest request;
  TargetCrash at;  ///< The target, which may have crashed.
  ServiceName service;
  Duration at_target{};
  MonotonicTime lost_at;
  bool is_repeated = false;  ///< This node sends the request to another target.
};

/// Tells the crash of a target from the loss of single connections. A target that refuses the next
/// connection, or that has started anew, has crashed; one that answers has not. A target that does
/// neither may be cut off, and nothing is concluded.
class CrashDetector {
 public:
  /// A target that has shown neither by then is not judged.
  static constexpr Duration kMaxWait = std::chrono::seconds(5);
  static constexpr std::size_t kMaxLost = 512;
  /// The losses of one crash are read one after the other, some of them after the refusal that
  /// shows the crash.
  static constexpr Duration kLateLoss = std::chrono::milliseconds(500);

  /// A loss that is seen after the refusal which shows the crash.
  struct LateLoss {
    LostRequest lost;
    std::size_t target_count = 1;  ///< As it was passed with the refusal.
  };

  /// Returns the loss if the target is known to have crashed.
  auto OnLost(LostRequest lost) -> std::optional<LateLoss>;
  /// The machine of the target has refused a connection. `target_count`: of the target's service.
  /// Returns what was lost by the crash.
  auto OnRefused(const TargetName& target, std::size_t target_count, MonotonicTime now)
      -> std::vector<LostRequest>;
  /// The target has registered a start. Returns what was lost by the crash of an earlier one.
  auto OnStarted(const TargetName& target, std::int64_t start_id, MonotonicTime now)
      -> std::vector<LostRequest>;
  /// The request is over without an answer, so that this node sends it to no further target.
  auto OnUnanswered(const RequestDigest& request) -> void;
  /// The target has answered what was sent to it at the given time.
  auto OnAnswered(const TargetName& target, MonotonicTime sent_at) -> void;
  /// Whether the request is among those that may have been lost by a crash.
  auto IsPending(const RequestDigest& request, MonotonicTime now) const -> bool;
  auto empty() const -> bool { return lost_.empty(); }

 private:
  struct Refusal {
    MonotonicTime at;
    std::size_t target_count = 1;
  };

  auto TakeLost(const TargetName& target) -> std::vector<LostRequest>;
  auto Forget(MonotonicTime now) -> void;

  absl::flat_hash_map<TargetName, std::vector<LostRequest>> lost_;
  absl::flat_hash_map<TargetName, Refusal> refusals_;  ///< Within kLateLoss.
  std::size_t size_ = 0;
};

}  // namespace heatherspan
