#pragma once

#include <deque>

#include "base/time.h"

namespace heatherspan {

/// Bounds the repeats of one service's requests over a sliding window: a share of the requests of
/// the window, and a fixed allowance that all entry VMs have together. Each VM takes the share of
/// its own requests and an equal part of the allowance, so that the sum holds without messages.
class ServiceRetryBudget {
 public:
  struct Limits {
    Duration window = std::chrono::seconds(10);
    double ratio = 0.1;     ///< Repeats for each request.
    double allowance = 10;  ///< Repeats in each window, of all entry VMs together.
  };

  explicit ServiceRetryBudget(Limits limits) : limits_(limits) {}

  auto SetLimits(Limits limits) -> void { limits_ = limits; }
  auto OnRequest(MonotonicTime now) -> void;
  /// Takes one repeat. `entry_vms` is how many may be spending the allowance.
  auto TryAcquire(int entry_vms, MonotonicTime now) -> bool;

 private:
  auto Expire(MonotonicTime now) -> void;

  Limits limits_;
  std::deque<MonotonicTime> requests_;
  std::deque<MonotonicTime> retries_;
};

}  // namespace heatherspan
