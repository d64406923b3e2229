#pragma once

#include "base/random.h"
#include "base/time.h"

namespace heatherspan {

/// Bounds the retries of a first node: at most 10% of its requests plus a small initial balance.
class RetryBudget {
 public:
  static constexpr double kRetryRatio = 0.1;
  /// Lets the first requests after a start be retried; it is spent once.
  static constexpr double kInitialBalance = 2;
  /// Unused balance doesn't grow without bound, or a quiet hour would pay for a burst of retries.
  static constexpr double kMaxBalance = 10;

  /// Call once for each request, not for its retries.
  auto OnRequest() -> void;

  /// Takes one retry from the budget.
  auto TryRetry() -> bool;

  /// The pause before the retry with this number (1 for the first), jittered so that the retries of
  /// one fault don't arrive together.
  static auto Backoff(int retry, Random& random) -> Duration;

  auto balance() const -> double { return balance_; }

 private:
  double balance_ = kInitialBalance;
};

}  // namespace heatherspan
