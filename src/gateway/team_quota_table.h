#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "gateway/team.h"
#include "gateway/team_quota_budget.h"

namespace heatherspan {

/// The budgets of the teams that have a quota.
class TeamQuotaTable {
 public:
  auto SetRule(const TeamQuotaRule& rule) -> void;
  auto Apply(const std::vector<Team>& teams) -> void;

  /// Null if the team has no limit.
  auto Find(const TeamName& team) const -> const TeamQuotaBudget*;
  auto budgets() const -> const absl::flat_hash_map<TeamName, TeamQuotaBudget>& { return budgets_; }
  auto empty() const -> bool { return budgets_.empty(); }

 private:
  auto Compute() -> void;

  TeamQuotaRule rule_;
  absl::flat_hash_map<TeamName, TeamQuota> quotas_;
  absl::flat_hash_map<TeamName, TeamQuotaBudget> budgets_;
};

}  // namespace heatherspan
