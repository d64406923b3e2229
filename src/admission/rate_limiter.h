#pragma once

#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// A token bucket. In any time window, the limiter admits at most the burst plus the integral of
/// the rate over the window, also when the rate changes within the window.
class RateLimiter {
 public:
  /// The bucket starts full. With a burst below one request, the limiter admits nothing.
  RateLimiter(RequestsPerSecond rate, double burst, MonotonicTime now);

  /// Tokens for the time before `now` accrue at the old rate. At a rate of zero, the limiter admits
  /// nothing, not even the remaining tokens: a node without a share of a cap must not use the cap.
  auto SetRate(RequestsPerSecond rate, MonotonicTime now) -> void;

  /// Takes one token. Returns false when no token is available.
  auto TryTake(MonotonicTime now) -> bool;

  /// The time until TryTake can succeed; Duration::max() when the rate is zero or the burst is
  /// below one request.
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
