#pragma once

#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// A token bucket. In any window of length T it admits at most the burst plus the integral of the
/// rate over the window, also when the rate changes within it.
class RateLimiter {
 public:
  /// The bucket starts full. A burst below one admits nothing.
  RateLimiter(RequestsPerSecond rate, double burst, MonotonicTime now);

  /// Tokens earned so far are counted at the old rate. A rate of zero admits nothing, not even the
  /// rest of the burst: a node without a share of a cap must not use it.
  auto SetRate(RequestsPerSecond rate, MonotonicTime now) -> void;

  /// Takes one token, if there is one.
  auto TryTake(MonotonicTime now) -> bool;

  /// The time until TryTake can succeed; Duration::max() at a rate of zero.
  auto TimeToNextToken(MonotonicTime now) const -> Duration;

  auto rate() const -> RequestsPerSecond { return rate_; }

 private:
  auto TokensAt(MonotonicTime now) const -> double;
  auto Advance(MonotonicTime now) -> void;

  RequestsPerSecond rate_;
  double burst_;
  double tokens_;
  MonotonicTime updated_;
};

}  // namespace heatherspan
