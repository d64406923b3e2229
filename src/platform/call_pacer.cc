#include "platform/call_pacer.h"

#include <algorithm>
#include <random>

namespace heatherspan {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

CallPacer::CallPacer(Limits limits, Random random)
    : limits_(limits), random_(random), tokens_(limits.burst) {}

auto CallPacer::TakeToken(MonotonicTime now) -> Duration {
  if (now > refilled_) {
    const Seconds passed = now - refilled_;
    tokens_ = std::min(limits_.burst, tokens_ + passed.count() * limits_.calls_per_second);
    refilled_ = now;
  }
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return Duration::zero();
  }
  const Seconds missing((1 - tokens_) / limits_.calls_per_second);
  return std::chrono::ceil<Duration>(missing);
}

auto CallPacer::BackoffLeft(MonotonicTime now) const -> Duration {
  return std::max<Duration>(Duration::zero(), backoff_end_ - now);
}

auto CallPacer::OnSuccess() -> void {
  backoff_ = Duration::zero();
  backoff_end_ = MonotonicTime{};
}

auto CallPacer::OnFailure(MonotonicTime now) -> void {
  backoff_ = std::clamp(2 * backoff_, limits_.backoff_min, limits_.backoff_max);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  backoff_end_ = now + std::chrono::duration_cast<Duration>(backoff_ * jitter(random_));
}

}  // namespace heatherspan
