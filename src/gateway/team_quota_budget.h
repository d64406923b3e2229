#pragma once

#include "base/time.h"
#include "base/units.h"
#include "gateway/team.h"

namespace heatherspan {

/// How closely the requests of a team have to keep to its quota. In each window, at most
/// (rate * window + burst) * (1 + overage) + slack of them may run.
struct TeamQuotaRule {
  Duration window = std::chrono::seconds(5);
  double overage = 0.1;
  double slack = 20;

  auto Allowed(const TeamQuota& quota) const -> double;
  friend auto operator==(const TeamQuotaRule&, const TeamQuotaRule&) -> bool = default;
};

/// The token bucket of a team that all entry VMs together make up.
struct TeamQuotaBudget {
  /// Tokens of the last keeper may still be used for so long when the next one begins.
  static constexpr Duration kMoveOverlap = std::chrono::milliseconds(400);

  RequestsPerSecond rate = RequestsPerSecond(0);
  double depth = 0;

  /// In each window, `rate` and `depth` together stay within the rule, with a reserve for entry VMs
  /// that count each other differently for a short time.
  static auto Of(const TeamQuota& quota, const TeamQuotaRule& rule) -> TeamQuotaBudget;
};

}  // namespace heatherspan
