#include "admission/retry_budget.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace heatherspan {
namespace {

/// Sums of a tenth must reach one after ten requests in spite of rounding.
constexpr double kRoundingTolerance = 1e-9;

constexpr Duration kBaseBackoff = std::chrono::milliseconds(4);
constexpr int kMaxDoublings = 5;  // 128 ms; deadlines are about 2 s.

}  // namespace

auto RetryBudget::OnRequest() -> void { balance_ = std::min(kMaxBalance, balance_ + kRetryRatio); }

auto RetryBudget::TryRetry() -> bool {
  if (balance_ < 1 - kRoundingTolerance) return false;
  balance_ -= 1;
  return true;
}

auto RetryBudget::Backoff(int retry, Random& random) -> Duration {
  const auto longest = kBaseBackoff * (1 << std::clamp(retry - 1, 0, kMaxDoublings));
  std::uniform_int_distribution<Duration::rep> draw(longest.count() / 2, longest.count());
  return Duration(draw(random));
}

}  // namespace heatherspan
