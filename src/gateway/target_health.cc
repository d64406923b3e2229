#include "gateway/target_health.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

/// Connections fail in an instant or after a timeout that each caller feels, so one is enough.
constexpr Duration kUnreachableBlock = milliseconds(500);
/// Three failures in a row are rare at the failure rates of sound targets (below 1%).
constexpr int kFailuresUntilBlock = 3;
constexpr Duration kFailureBlock = milliseconds(1000);
/// The registry names the new owner of the address or drops the entry within this time.
constexpr Duration kReplacedBlock = milliseconds(2000);
/// A target that comes back is used again within this time.
constexpr Duration kLongestBlock = milliseconds(4000);
/// Weight of the latest attempt in the failure rate: about the last four count.
constexpr double kRateWeight = 0.25;
/// Half-life of the failure rate without attempts, seconds; faults last a few seconds.
constexpr double kRateHalfLife = 4;
/// A refusal costs a caller less than a failure does.
constexpr double kRefusalWeight = 0.5;

}  // namespace

auto TargetHealth::FailureRate(MonotonicTime now) const -> double {
  const double seconds = std::max(0.0, duration<double>(now - rated_at_).count());
  return failure_rate_ * std::exp2(-seconds / kRateHalfLife);
}

auto TargetHealth::OnSign(TargetSign sign, MonotonicTime now) -> void {
  const double sample = sign == TargetSign::kServed    ? 0
                        : sign == TargetSign::kRefused ? kRefusalWeight
                                                       : 1;
  failure_rate_ = FailureRate(now) * (1 - kRateWeight) + sample * kRateWeight;
  rated_at_ = now;
  switch (sign) {
    case TargetSign::kServed:
      failures_in_a_row_ = 0;
      block_time_ = Duration::zero();
      return;
    case TargetSign::kRefused:
      return;
    case TargetSign::kFailed:
      ++failures_in_a_row_;
      if (failures_in_a_row_ >= kFailuresUntilBlock || OnProbation()) Block(kFailureBlock, now);
      return;
    case TargetSign::kUnreachable:
      Block(kUnreachableBlock, now);
      return;
    case TargetSign::kReplaced:
      Block(kReplacedBlock, now);
      return;
  }
}

auto TargetHealth::Block(Duration shortest, MonotonicTime now) -> void {
  // Attempts that were under way when the block began say nothing new.
  if (IsBlocked(now)) return;
  block_time_ = std::clamp(block_time_ * 2, shortest, kLongestBlock);
  blocked_until_ = now + block_time_;
}

}  // namespace heatherspan
