#include "gateway/team_tokens.h"

#include <algorithm>
#include <cmath>
#include <utility>

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

auto TeamTokens::Take(MonotonicTime now) -> MonotonicTime {
  for (auto& batch : batches_) {
    if (batch.count <= 0 || batch.usable_until <= now) continue;
    --batch.count;
    return batch.usable_until;
  }
  return MonotonicTime::min();
}

auto TeamTokens::Put(MonotonicTime usable_until, int count) -> void {
  for (auto& batch : batches_) {
    if (batch.usable_until != usable_until) continue;
    batch.count += count;
    return;
  }
  if (usable_until < batches_[1].usable_until) return;
  batches_[0] = batches_[1];
  batches_[1] = {usable_until, count};
}

auto TeamTokens::TakeSpare(Duration time, MonotonicTime now) -> int {
  // Only tokens of the keeper's last answer can be returned.
  auto& batch = batches_[1];
  if (batch.usable_until <= now || batch.usable_until - now >= time) return 0;
  const int kept = std::min(batch.count, static_cast<int>(request_rate_ * Seconds(kExchangeTime)));
  return std::exchange(batch.count, kept) - kept;
}

auto TeamTokens::Count(MonotonicTime now) const -> int {
  int count = 0;
  for (const auto& batch : batches_) {
    if (batch.usable_until > now) count += batch.count;
  }
  return count;
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
