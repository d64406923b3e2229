#include "admission/rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heatherspan {
namespace {

/// Tokens; tolerates rounding errors in sums of doubles and is far below one request.
constexpr double kRoundingTolerance = 1e-9;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

RateLimiter::RateLimiter(RequestsPerSecond rate, double burst, MonotonicTime now)
    : rate_(rate), burst_(burst), tokens_(burst), updated_(now) {}

auto RateLimiter::SetRate(RequestsPerSecond rate, MonotonicTime now) -> void {
  Advance(now);
  rate_ = rate;
}

auto RateLimiter::TryTake(MonotonicTime now) -> bool {
  if (rate_.value() <= 0) return false;
  Advance(now);
  if (tokens_ < 1 - kRoundingTolerance) return false;
  tokens_ -= 1;
  return true;
}

auto RateLimiter::TimeToNextToken(MonotonicTime now) const -> Duration {
  if (rate_.value() <= 0 || burst_ < 1) return Duration::max();
  const double missing = 1 - TokensAt(now);
  if (missing <= kRoundingTolerance) return Duration::zero();
  const double nanoseconds = std::ceil(missing / rate_.value() * 1e9);
  constexpr double kMaxNanoseconds = 1e18;  // Still representable as a Duration.
  return Duration(static_cast<Duration::rep>(std::min(nanoseconds, kMaxNanoseconds)));
}

auto RateLimiter::TokensAt(MonotonicTime now) const -> double {
  if (now <= updated_) return tokens_;
  return std::min(burst_, tokens_ + rate_.value() * Seconds(now - updated_));
}

auto RateLimiter::Advance(MonotonicTime now) -> void {
  tokens_ = TokensAt(now);
  updated_ = std::max(updated_, now);
}

}  // namespace heatherspan
