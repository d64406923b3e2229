#include "gateway/target_health.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

/// A connection fails at once or after a timeout that delays each caller, so one failure is enough.
constexpr Duration kUnreachableBlock = milliseconds(500);
/// Three consecutive failures are rare at the failure rate of a healthy target (below 1%).
constexpr int kConsecutiveFailuresToBlock = 3;
constexpr Duration kFailureBlock = milliseconds(1000);
/// Within this time the registry lists the new owner of the address or removes the entry.
constexpr Duration kReplacedBlock = milliseconds(2000);
/// A recovered target is used again within this time.
constexpr Duration kMaxBlock = milliseconds(4000);
/// Weight of the latest attempt in the failure rate. About the last four attempts count.
constexpr double kRateWeight = 0.25;
/// Half-life of the failure rate without attempts. Failures typically last a few seconds.
constexpr double kRateHalfLifeSeconds = 4;
/// A refusal costs the caller less than a failure does.
constexpr double kRefusalWeight = 0.5;

}  // namespace

auto TargetHealth::FailureRate(MonotonicTime now) const -> double {
  const double seconds = std::max(0.0, duration<double>(now - failure_rate_at_).count());
  return failure_rate_ * std::exp2(-seconds / kRateHalfLifeSeconds);
}

auto TargetHealth::OnObservation(TargetObservation observation, MonotonicTime now) -> void {
  const double sample = observation == TargetObservation::kServed    ? 0
                        : observation == TargetObservation::kRefused ? kRefusalWeight
                                                                     : 1;
  failure_rate_ = FailureRate(now) * (1 - kRateWeight) + sample * kRateWeight;
  failure_rate_at_ = now;
  switch (observation) {
    case TargetObservation::kServed:
      consecutive_failures_ = 0;
      block_duration_ = Duration::zero();
      return;
    case TargetObservation::kRefused:
      return;
    case TargetObservation::kFailed:
      ++consecutive_failures_;
      if (consecutive_failures_ >= kConsecutiveFailuresToBlock || OnProbation()) {
        Block(kFailureBlock, now);
      }
      return;
    case TargetObservation::kUnreachable:
      Block(kUnreachableBlock, now);
      return;
    case TargetObservation::kReplaced:
      Block(kReplacedBlock, now);
      return;
  }
}

auto TargetHealth::Block(Duration min_duration, MonotonicTime now) -> void {
  // Attempts that began before the block give no new information.
  if (IsBlocked(now)) return;
  block_duration_ = std::clamp(block_duration_ * 2, min_duration, kMaxBlock);
  blocked_until_ = now + block_duration_;
}

}  // namespace heatherspan
