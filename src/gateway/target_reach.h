#pragma once

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// Whether this node reaches any target, by its own attempts and probes. A node whose links to the
/// targets are lost fails at one target after the other and gets no answer in between; targets that
/// are down leave others that answer.
class TargetReach {
 public:
  enum class State {
    kReaching,
    kImpaired,  ///< Several targets can't be reached, while others answer.
    kStranded,  ///< No target can be reached.
  };

  /// Targets that fail without an answer in between before the node counts as stranded.
  static constexpr std::size_t kMinUnreachable = 3;
  /// Requests at targets for so long without an answer from any target are a reason to probe.
  static constexpr Duration kSilence = std::chrono::milliseconds(750);
  /// A failure that is older says nothing about now.
  static constexpr Duration kWindow = std::chrono::seconds(3);
  /// Hysteresis: links that were lost again soon after they came back count as lost for at least
  /// this time, which doubles while they come and go. The first loss ends with the first probe that
  /// is answered, since targets may have ended together.
  static constexpr Duration kMinHold = std::chrono::milliseconds(500);
  static constexpr Duration kMaxHold = std::chrono::seconds(8);
  /// Links that hold so long are sound again.
  static constexpr Duration kSoundTime = std::chrono::seconds(10);

  /// A request has been sent to a target.
  auto OnSent(MonotonicTime now) -> void {
    if (waiting_since_ == MonotonicTime::max()) waiting_since_ = now;
  }
  /// A target has answered a request. While new connections are refused, old ones may live on, so
  /// this does not end the state.
  auto OnAnswer(MonotonicTime now) -> void {
    answered_at_ = now;
    failed_since_answer_ = 0;
    waiting_since_ = MonotonicTime::max();
  }
  /// A target has answered a probe, on a connection of its own.
  auto OnProbeAnswer(MonotonicTime now) -> void;
  /// A target could not be reached, or its connection was lost.
  auto OnUnreachable(const TargetName& target, MonotonicTime now) -> void;
  auto state(MonotonicTime now) const -> State;
  /// No target answers: all are slow, or the links take requests and carry no answers.
  auto IsSilent(MonotonicTime now) const -> bool {
    return waiting_since_ != MonotonicTime::max() && now - waiting_since_ >= kSilence;
  }
  /// Since when the node has been stranded; valid if it is.
  auto stranded_since() const -> MonotonicTime { return stranded_since_; }

 private:
  auto Forget(MonotonicTime now) -> void;

  /// When each target failed last.
  absl::flat_hash_map<TargetName, MonotonicTime> unreachable_;
  std::size_t failed_since_answer_ = 0;  ///< Different targets.
  MonotonicTime answered_at_{};
  MonotonicTime waiting_since_ = MonotonicTime::max();  ///< Without an answer; max: not waiting.
  bool stranded_ = false;
  MonotonicTime stranded_since_{};
  MonotonicTime ended_at_ = MonotonicTime::min();
  Duration hold_ = Duration::zero();
};

}  // namespace heatherspan
