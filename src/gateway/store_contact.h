#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// The span of time in which the store is known to have answered entry VMs without an outage, and
/// whether removals may be of items whose owners still run. Registrations expire during an outage
/// and return soon after its end. All VMs agree on when that was: a VM that hears of an earlier
/// answer of the store corrects itself, whoever the answer went to.
class StoreContact {
 public:
  /// Registrations that expired during an outage return within about this time of its end.
  static constexpr Duration kReregistrationTime = std::chrono::seconds(2);
  /// No registration expires because of an outage that is so short: it misses one heartbeat.
  static constexpr Duration kShortOutage = std::chrono::milliseconds(1500);
  /// The clock may start at 0 with the machine.
  static constexpr MonotonicTime kNever = MonotonicTime(-std::chrono::hours(1));

  /// `gap`: without a call that went unanswered, only a longer time between two answers is an
  /// outage.
  auto SetMaxGap(Duration gap) -> void { max_gap_ = gap; }
  /// The node's state has all changes that the store had at that time.
  auto OnAnswer(MonotonicTime at) -> void { OnSpan(at, at); }
  /// A call to the store has no answer, which tells an outage from a time without calls.
  auto OnUnanswered() -> void { unanswered_ = true; }
  /// The state is one of unknown age, because the store can't be asked.
  auto Reset() -> void;
  /// The store is back from an older copy, and the node's state has all changes up to that time.
  auto OnRestored(MonotonicTime at) -> void;
  /// The store has answered from `since` to `until` without an outage.
  auto OnSpan(MonotonicTime since, MonotonicTime until) -> void;

  /// The time since the store's last outage, if it matters.
  auto Age(MonotonicTime now) const -> Duration { return std::min(now - since_, kMaxAge); }
  /// The node's state has all changes up to this time.
  auto until() const -> MonotonicTime { return until_; }
  /// Whether the owners of items that the state lacks may still run: it ends before all
  /// registrations that expired in an outage had the time to return.
  auto RemovalsInDoubt() const -> bool;

 private:
  /// An outage so long ago no longer matters to any VM.
  static constexpr Duration kMaxAge = std::chrono::hours(1);

  auto Gap() const -> Duration { return unanswered_ ? kShortOutage : max_gap_; }

  Duration max_gap_ = kShortOutage;
  MonotonicTime since_ = kNever;
  MonotonicTime until_ = kNever;
  bool unanswered_ = false;  ///< A call since the last answer.
  bool outage_seen_ = false;
};

}  // namespace heatherspan
