#pragma once

#include "base/random.h"
#include "base/time.h"

namespace heatherspan {

/// Bounds the retries of the entry VM that receives requests from callers: at most 10% of the
/// requests plus a small initial balance.
class RetryBudget {
 public:
  static constexpr double kRetryRatio = 0.1;
  /// Allows retries of the first requests after a start. The initial balance is granted only once.
  static constexpr double kInitialBalance = 2;
  /// The limit keeps the unused balance of an hour with few failures from allowing a burst of
  /// retries.
  static constexpr double kMaxBalance = 10;

  /// Must be called once for each request, but not for its retries.
  auto OnRequest() -> void;

  /// Takes one retry from the budget. Returns false when the budget is exhausted.
  auto TryRetry() -> bool;

  /// The pause before retry number `retry` (1 for the first). Jitter keeps the retries after one
  /// failure from arriving at the same time.
  static auto Backoff(int retry, Random& random) -> Duration;

  auto balance() const -> double { return balance_; }

 private:
  double balance_ = kInitialBalance;
};

}  // namespace heatherspan
