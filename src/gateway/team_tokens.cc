#include "gateway/team_tokens.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

constexpr Duration kMaxRetryAfter = std::chrono::seconds(4);
/// The keeper's answer takes about so long from another region.
constexpr Duration kExchangeTime = std::chrono::milliseconds(100);
/// A rate is the mean over about this time.
constexpr double kRateMemorySeconds = 1;
/// Below it, a request waits for a token of its own.
constexpr double kLeastExpected = 0.2;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto TeamTokens::OnRefused(Duration least, MonotonicTime now) -> Duration {
  const double rate = std::max(grant_rate_, 1 / Seconds(kMaxRetryAfter));
  next_return_ = std::max(next_return_, now) +
                 std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  next_return_ = std::min(next_return_, now + kMaxRetryAfter);
  return std::max(least, next_return_ - now);
}

auto TeamTokens::Take(MonotonicTime now) -> bool {
  if (Count(now) == 0) return false;
  --count_;
  return true;
}

auto TeamTokens::GiveBack(MonotonicTime usable_until) -> void {
  ++(usable_until == usable_until_ ? count_ : given_back_);
}

auto TeamTokens::OnGranted(int granted, bool renewed, MonotonicTime usable_until, MonotonicTime now)
    -> void {
  granted_ += granted;
  if (usable_until <= now) return;
  if (!renewed) {
    if (granted == 0) return;
    count_ = 0;
  }
  count_ = Count(now) + granted;
  usable_until_ = usable_until;
}

auto TeamTokens::TakeSpare(int needed, MonotonicTime now) -> int {
  const int kept = std::min(Count(now), needed);
  const int spare = Count(now) - kept + given_back_;
  count_ = kept;
  given_back_ = 0;
  return spare;
}

auto TeamTokens::UpdateRates(MonotonicTime now) -> void {
  const double passed = std::max(Seconds(now - updated_at_), 1e-3);
  const double weight = std::min(1.0, passed / kRateMemorySeconds);
  request_rate_ += weight * (requests_ / passed - request_rate_);
  grant_rate_ += weight * (granted_ / passed - grant_rate_);
  requests_ = 0;
  granted_ = 0;
  updated_at_ = now;
}

auto TeamTokens::Expected(Duration time) const -> int {
  const double mean = request_rate_ * Seconds(time + kExchangeTime);
  return mean < kLeastExpected ? 0 : static_cast<int>(std::ceil(mean + std::sqrt(mean)));
}

auto TeamTokens::IsIdle(MonotonicTime now) const -> bool {
  return requests_ == 0 && Count(now) == 0 && next_return_ <= now &&
         request_rate_ * kRateMemorySeconds < kLeastExpected / 10;
}

}  // namespace heatherspan
