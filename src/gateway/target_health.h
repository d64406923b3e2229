#pragma once

#include "base/time.h"

namespace heatherspan {

/// What an attempt has shown of its target.
enum class TargetObservation {
  kServed,       ///< A complete response that is no failure.
  kFailed,       ///< A failure response, a lost connection or a malformed response.
  kRefused,      ///< It said that it did not run the request.
  kUnreachable,  ///< No connection.
  kReplaced,     ///< Another instance has its address.
};

/// Judges a target by the outcomes of this node's own attempts. A target that fails is left out for
/// a time that doubles, then tried with one request at a time until one succeeds.
class TargetHealth {
 public:
  auto OnObservation(TargetObservation observation, MonotonicTime now) -> void;

  /// Left out at present.
  auto IsBlocked(MonotonicTime now) const -> bool { return now < blocked_until_; }
  /// Was left out and has not succeeded since.
  auto OnProbation() const -> bool { return block_duration_ > Duration::zero(); }
  /// The share of recent attempts that failed or were refused; it fades with time.
  auto FailureRate(MonotonicTime now) const -> double;
  auto blocked_until() const -> MonotonicTime { return blocked_until_; }
  /// Forgets all, for a new start of the target.
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
