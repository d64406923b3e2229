#pragma once

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// The time for which a target has asked this node for a pause. Load pattern: a target in need
/// turns requests of all entry VMs away and names a time. It gets its load back in steps: after the
/// pause one request at a time until one has been served.
class TargetPause {
 public:
  /// A longer pause would keep a target out of use that has long recovered.
  static constexpr Duration kMaxPause = std::chrono::seconds(30);
  /// The pause ends up to this part of it later, and no more than the time below, so that entry VMs
  /// don't return in the same moment.
  static constexpr double kSpread = 0.2;
  static constexpr Duration kMaxSpread = std::chrono::seconds(1);

  /// `spread`: from 0 to 1, drawn by the node. A longer pause extends one in progress, a shorter
  /// one doesn't shorten it. Returns whether the node had not paused before.
  auto OnRequested(Duration wait, double spread, MonotonicTime now) -> bool {
    const bool is_new = Wait(now) == Duration::zero();
    wait = std::min(wait, kMaxPause);
    const auto part = std::chrono::duration<double>(wait) * (kSpread * spread);
    const auto extra = std::min(std::chrono::duration_cast<Duration>(part), kMaxSpread);
    until_ = std::max(until_, now + wait + extra);
    returns_ = true;
    return is_new;
  }
  /// Returns the time until a request may be sent again; zero if it may be sent now.
  auto Wait(MonotonicTime now) const -> Duration {
    return std::max(until_ - now, Duration::zero());
  }
  /// The target has served nothing since its pause: it gets one request at a time.
  auto is_returning() const -> bool { return returns_; }
  auto OnServed(MonotonicTime now) -> void {
    // A request that was under way when the pause began shows nothing.
    if (Wait(now) == Duration::zero()) returns_ = false;
  }

 private:
  MonotonicTime until_{};
  bool returns_ = false;
};

}  // namespace heatherspan
