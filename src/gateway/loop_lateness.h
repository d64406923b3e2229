#pragma once

#include <algorithm>

#include "base/time.h"

namespace heatherspan {

/// Whether this entry VM keeps up with its requests, by how late its own event loop runs. Load
/// pattern: a VM with a small share of a core gets more requests than it can carry. Each waits to
/// be read, and so does each answer, while VMs beside it have time to spare.
class LoopLateness {
 public:
  /// A lag that takes so much of a request's time that another VM serves it sooner, in spite of the
  /// refusal.
  static constexpr Duration kLateLag = std::chrono::milliseconds(200);
  /// Hysteresis: the loop keeps up again below this lag.
  static constexpr Duration kSoundLag = std::chrono::milliseconds(80);
  /// Ticks in a row above or below a bound. A process that was paused once is not late.
  static constexpr int kLateTicks = 3;
  static constexpr int kSoundTicks = 4;
  /// How long the VM announces less capacity after it was late, so that the callers who left do not
  /// return at once.
  static constexpr Duration kReducedTime = std::chrono::seconds(5);

  /// `interval`: between the ticks.
  explicit LoopLateness(Duration interval) : interval_(interval) {}

  /// The loop runs its regular task, which is due at every interval.
  auto OnTick(MonotonicTime now) -> void;

  /// Whether new requests should go to another VM.
  auto is_late() const -> bool { return is_late_; }
  /// Whether the VM should be named less than its capacity says.
  auto is_reduced(MonotonicTime now) const -> bool { return is_late_ || now < reduced_until_; }
  /// How late the last tick was.
  auto lag() const -> Duration { return lag_; }
  /// Returns how long a request that is read now may have waited for the loop: since a tick is
  /// overdue, and while the loop doesn't keep up as long as for the last tick.
  auto MaxWait(MonotonicTime now) const -> Duration {
    if (due_ == MonotonicTime{}) return Duration::zero();
    return std::max(is_late_ ? lag_ : Duration::zero(), now - due_);
  }

 private:
  Duration interval_;
  MonotonicTime due_{};  ///< The next tick.
  Duration lag_{};
  int ticks_in_row_ = 0;  ///< That speak for the other state.
  bool is_late_ = false;
  MonotonicTime reduced_until_{};
};

}  // namespace heatherspan
