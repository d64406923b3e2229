#include "gateway/team_quota_table.h"

namespace heatherspan {

auto TeamQuotaTable::SetRule(const TeamQuotaRule& rule) -> void {
  if (rule == rule_) return;
  rule_ = rule;
  Compute();
}

auto TeamQuotaTable::Apply(const std::vector<Team>& teams) -> void {
  quotas_.clear();
  for (const auto& team : teams) {
    if (team.quota.is_limited()) quotas_.emplace(team.name, team.quota);
  }
  Compute();
}

auto TeamQuotaTable::Find(const TeamName& team) const -> const TeamQuotaBudget* {
  const auto found = budgets_.find(team);
  return found == budgets_.end() ? nullptr : &found->second;
}

auto TeamQuotaTable::Compute() -> void {
  budgets_.clear();
  for (const auto& [name, quota] : quotas_) {
    budgets_.emplace(name, TeamQuotaBudget::Of(quota, rule_));
  }
}

}  // namespace heatherspan
