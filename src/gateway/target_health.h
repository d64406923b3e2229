#pragma once

#include "base/time.h"

namespace heatherspan {

/// What an attempt has shown of its target.
enum class TargetObservation {
  kServed,       ///< A complete response that reports no failure.
  kFailed,       ///< A failure response, a lost connection or a malformed response.
  kRefused,      ///< The target stated that it did not run the request.
  kUnreachable,  ///< No connection.
  kReplaced,     ///< Another instance has the target's address.
};

/// Rates a target by the outcomes of this node's own attempts. A failing target is blocked for a
/// time that doubles, then probed with one request at a time until one succeeds.
class TargetHealth {
 public:
  auto OnObservation(TargetObservation observation, MonotonicTime now) -> void;

  /// The target gets no requests at present.
  auto IsBlocked(MonotonicTime now) const -> bool { return now < blocked_until_; }
  /// The target was blocked and has not succeeded since.
  auto OnProbation() const -> bool { return block_duration_ > Duration::zero(); }
  /// Returns the weighted rate of recent attempts that failed or were refused. The rate decays with
  /// time.
  auto FailureRate(MonotonicTime now) const -> double;
  auto blocked_until() const -> MonotonicTime { return blocked_until_; }
  /// Discards all state after a restart of the target.
  auto Reset() -> void { *this = TargetHealth(); }

 private:
  auto Block(Duration min_duration, MonotonicTime now) -> void;

  int consecutive_failures_ = 0;
  Duration block_duration_{};
  MonotonicTime blocked_until_{};
  double failure_rate_ = 0;
  MonotonicTime failure_rate_at_{};
};

}  // namespace heatherspan
