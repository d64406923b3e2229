#pragma once

#include <deque>
#include <optional>

#include "base/time.h"

namespace heatherspan {

/// Limits the retries of one service's requests over a sliding window: a fraction of the window's
/// requests, and a fixed allowance for all entry VMs together. Each VM uses the fraction of its own
/// requests and an equal part of the allowance, so that the total holds without messages. A VM that
/// doesn't know yet how many there are uses no part of the allowance, nor does one that may have
/// used it within the window before it was started again. A request counts at the VM that gets it
/// from its caller; a VM to which it is passed on takes each arrival after the first from its own
/// budget. So the arrivals beyond the first of each request stay within ratio times the requests
/// plus the allowance, whichever VMs a request passes.
class ServiceRetryBudget {
 public:
  struct Limits {
    Duration window = std::chrono::seconds(10);
    double ratio = 0.1;     ///< Retries per request.
    double allowance = 10;  ///< Retries per window of all entry VMs together.
  };

  explicit ServiceRetryBudget(Limits limits) : limits_(limits) {}

  auto SetLimits(Limits limits) -> void { limits_ = limits; }
  auto OnRequest(MonotonicTime now) -> void;
  /// Takes one retry from the budget. `entry_vms` is the number of VMs that may use the allowance,
  /// if it is known.
  auto TryAcquire(std::optional<int> entry_vms, MonotonicTime now) -> bool;
  /// Returns the retry taken last, which isn't made.
  auto Return() -> void;
  auto window() const -> Duration { return limits_.window; }

 private:
  auto Expire(MonotonicTime now) -> void;

  Limits limits_;
  std::deque<MonotonicTime> requests_;
  std::deque<MonotonicTime> retries_;
};

}  // namespace heatherspan
