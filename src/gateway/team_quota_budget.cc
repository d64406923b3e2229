#include "gateway/team_quota_budget.h"

#include <algorithm>

namespace heatherspan {
namespace {

/// Makes up for the part of the fractions that is set aside.
constexpr double kMaxExtraRate = 0.03;
/// Of what the rule allows beyond.
constexpr double kUsedFractionOfSpare = 0.9;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto TeamQuotaRule::Allowed(const TeamQuota& quota) const -> double {
  return (quota.rate.value() * Seconds(window) + quota.burst) * (1 + overage) + slack;
}

auto TeamQuotaBudget::Of(const TeamQuota& quota, const TeamQuotaRule& rule) -> TeamQuotaBudget {
  const double rate = quota.rate.value() * (1 + std::min(kMaxExtraRate, rule.overage / 2));
  const double spare =
      rule.Allowed(quota) - rate * Seconds(rule.window + kMoveOverlap) - quota.burst;
  return {RequestsPerSecond(rate), quota.burst + kUsedFractionOfSpare * std::max(0.0, spare)};
}

}  // namespace heatherspan
