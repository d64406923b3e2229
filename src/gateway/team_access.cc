#include "gateway/team_access.h"

#include <chrono>
#include <utility>

#include "gateway/common_regions.h"

namespace heatherspan {

auto TeamAccess::Apply(const TrafficPolicy& policy) -> std::optional<Change> {
  const bool required_before = std::exchange(requires_keys_, policy.RequiresKeys());
  if (!required_before && !requires_keys_) return std::nullopt;
  const auto keys_before = std::exchange(teams_by_key_, {});
  teams_ = policy.teams;
  Change change;
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    // The first of two teams that hold the same key has it.
    for (const auto& key : std::exchange(teams_[i].keys, {})) teams_by_key_.try_emplace(key, i);
  }
  change.teams = teams_.size();
  change.keys = teams_by_key_.size();
  for (const auto& [key, team] : teams_by_key_)
    change.keys_added += keys_before.contains(key) ? 0 : 1;
  change.keys_withdrawn = keys_before.size() + change.keys_added - change.keys;
  return change;
}

auto TeamAccess::IsStale(const Age& age) const -> bool {
  if (!requires_keys_ || limits_.revocation <= Duration::zero()) return false;
  const std::chrono::duration<double> limit(limits_.revocation);
  return std::chrono::duration<double>(age.proved) >= limit * (1 - kMargin);
}

auto TeamAccess::Rule(const Route& route, std::string_view key, const Age& age) const -> Ruling {
  if (!requires_keys_) return {Outcome::kAllowed, std::nullopt, route};
  if (key.empty()) return RuleWithoutTeam(route, false, age);
  const auto found = teams_by_key_.find(AccessKeyDigest::Of(key));
  if (found == teams_by_key_.end()) return RuleWithoutTeam(route, true, age);
  const auto& team = teams_[found->second];
  if (IsStale(age)) return {Outcome::kStaleKeys, team.name, route};
  return RuleForTeam(route, team);
}

auto TeamAccess::RuleWithoutTeam(const Route& route, bool has_key, const Age& age) const -> Ruling {
  if (!has_key && route.allow_anonymous) return {Outcome::kAllowed, std::nullopt, route};
  // A key that is not in the table may be new, and so may the rule that a route needs one.
  if (IsStale(age) || age.heard > limits_.apply) return {Outcome::kStaleKeys, std::nullopt, route};
  const auto outcome = route.allow_anonymous ? Outcome::kAllowed : Outcome::kUnknownKey;
  return {outcome, std::nullopt, route};
}

auto TeamAccess::RuleForTeam(const Route& route, const Team& team) -> Ruling {
  Ruling ruling{Outcome::kAllowed, team.name, route};
  ruling.route.priority = team.priority.value_or(route.priority);
  if (team.allowed_regions.empty()) return ruling;
  if (route.allowed_regions.empty()) {
    ruling.route.allowed_regions = team.allowed_regions;
    return ruling;
  }
  ruling.route.allowed_regions = CommonRegions(route.allowed_regions, team.allowed_regions);
  if (ruling.route.allowed_regions.empty()) ruling.outcome = Outcome::kNoRegionLeft;
  return ruling;
}

}  // namespace heatherspan
