#pragma once

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/quota_bucket.h"
#include "gateway/team_quota_budget.h"

namespace heatherspan {

/// This entry VM's own fraction of the quotas, for a time in which it is lent to no keeper. Each
/// such time begins with empty buckets.
class LocalQuota {
 public:
  /// The fraction is this VM's own from now on; 0 if it is lent.
  auto SetFraction(double fraction, MonotonicTime now) -> void;
  auto fraction() const -> double { return fraction_; }

  auto Take(const TeamName& team, const TeamQuotaBudget& budget, MonotonicTime now) -> bool;

 private:
  double fraction_ = 0;
  MonotonicTime since_{};
  absl::flat_hash_map<TeamName, QuotaBucket> buckets_;
};

}  // namespace heatherspan
