#include "admission/retry_budget.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace heatherspan {
namespace {

/// Ten additions of 0.1 must allow a retry despite rounding.
constexpr double kRoundingTolerance = 1e-9;

constexpr Duration kBaseBackoff = std::chrono::milliseconds(4);
constexpr int kMaxDoublings = 5;  // At most 128 ms, since deadlines are about 2 s.

}  // namespace

auto RetryBudget::OnRequest() -> void { balance_ = std::min(kMaxBalance, balance_ + kRetryRatio); }

auto RetryBudget::TryRetry() -> bool {
  if (balance_ < 1 - kRoundingTolerance) return false;
  balance_ -= 1;
  return true;
}

auto RetryBudget::Backoff(int retry, Random& random) -> Duration {
  const auto max_pause = kBaseBackoff * (1 << std::clamp(retry - 1, 0, kMaxDoublings));
  std::uniform_int_distribution<Duration::rep> pause(max_pause.count() / 2, max_pause.count());
  return Duration(pause(random));
}

}  // namespace heatherspan
