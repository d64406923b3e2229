#include "gateway/service_retry_budget.h"

#include <algorithm>

namespace heatherspan {
namespace {

/// Fraction of the limit that is used. Requests are counted where they are sent but judged where
/// they arrive, and a restarted entry VM has lost its count.
constexpr double kUsedFraction = 0.8;

auto DropBefore(std::deque<MonotonicTime>& times, MonotonicTime limit) -> void {
  while (!times.empty() && times.front() < limit) times.pop_front();
}

}  // namespace

auto ServiceRetryBudget::Expire(MonotonicTime now) -> void {
  DropBefore(requests_, now - limits_.window);
  DropBefore(retries_, now - limits_.window);
}

auto ServiceRetryBudget::OnRequest(MonotonicTime now) -> void {
  Expire(now);
  requests_.push_back(now);
}

auto ServiceRetryBudget::TryAcquire(std::optional<int> entry_vms, MonotonicTime now) -> bool {
  Expire(now);
  const double allowance = entry_vms.has_value() ? limits_.allowance / std::max(1, *entry_vms) : 0;
  const double limit =
      kUsedFraction * (limits_.ratio * static_cast<double>(requests_.size()) + allowance);
  if (static_cast<double>(retries_.size()) + 1 > limit) return false;
  retries_.push_back(now);
  return true;
}

auto ServiceRetryBudget::Return() -> void {
  if (!retries_.empty()) retries_.pop_back();
}

}  // namespace heatherspan
