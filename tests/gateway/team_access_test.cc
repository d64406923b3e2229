#include "gateway/team_access.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = TeamAccess::Outcome;

const TeamAccess::Age young{milliseconds(2000), milliseconds(3500)};
const TeamAccess::Age late{milliseconds(3001), milliseconds(3500)};
const TeamAccess::Age unproved{milliseconds(500), milliseconds(4800)};

auto Regions(const std::string& letters) -> std::vector<RegionName> {
  std::vector<RegionName> regions;
  for (const char letter : letters) regions.emplace_back(std::string(1, letter));
  return regions;
}

auto MakeTeam(const std::string& name, const std::vector<std::string>& keys) -> Team {
  Team team;
  team.name = TeamName(name);
  for (const auto& key : keys) team.keys.push_back(AccessKeyDigest::Of(key));
  return team;
}

auto MakePolicy(std::vector<Team> teams) -> TrafficPolicy {
  TrafficPolicy policy;
  policy.teams = std::move(teams);
  return policy;
}

/// A request, the age of the configuration, and what becomes of it.
struct Case {
  std::string name;
  std::string key;
  bool allow_anonymous = false;
  TeamAccess::Age age;
  Outcome outcome = Outcome::kAllowed;
  std::string team = {};
};

auto operator<<(std::ostream& out, const Case& one) -> std::ostream& { return out << one.name; }

class TeamAccessTest : public testing::TestWithParam<Case> {};

// Guards against a request that is served for the wrong team or without a key, against one that is
// refused for good by a VM that may not know its key yet, and against one that runs with a key that
// may have been withdrawn.
TEST_P(TeamAccessTest, RulesByKeyAndAge) {
  const auto& one = GetParam();
  TeamAccess access;
  access.SetLimits({seconds(3), seconds(5)});
  access.Apply(MakePolicy({MakeTeam("blue", {"b1", "b2"}), MakeTeam("red", {"r1", "b2"})}));
  Route route;
  route.allow_anonymous = one.allow_anonymous;
  const auto ruling = access.Rule(route, one.key, one.age);
  EXPECT_EQ(ruling.outcome, one.outcome);
  EXPECT_EQ(ruling.team.value_or(TeamName()).value(), one.team);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, TeamAccessTest,
    testing::Values(Case{"Known", "r1", false, young, Outcome::kAllowed, "red"},
                    Case{"HeldTwice", "b2", false, young, Outcome::kAllowed, "blue"},
                    Case{"Unknown", "r2", false, young, Outcome::kUnknownKey},
                    Case{"Missing", "", false, young, Outcome::kUnknownKey},
                    Case{"MissingOpen", "", true, young, Outcome::kAllowed},
                    Case{"UnknownOpen", "r2", true, young, Outcome::kAllowed},
                    Case{"KnownOpen", "r1", true, young, Outcome::kAllowed, "red"},
                    Case{"KnownLate", "r1", false, late, Outcome::kAllowed, "red"},
                    Case{"UnknownLate", "r2", false, late, Outcome::kStaleKeys},
                    Case{"MissingLate", "", false, late, Outcome::kStaleKeys},
                    Case{"MissingOpenLate", "", true, late, Outcome::kAllowed},
                    Case{"KnownUnproved", "r1", false, unproved, Outcome::kStaleKeys, "red"},
                    Case{"UnknownUnproved", "r2", false, unproved, Outcome::kStaleKeys},
                    Case{"KnownOpenUnproved", "r1", true, unproved, Outcome::kStaleKeys, "red"},
                    Case{"UnknownOpenUnproved", "r2", true, unproved, Outcome::kStaleKeys},
                    Case{"MissingOpenUnproved", "", true, unproved, Outcome::kAllowed}),
    [](const auto& test) { return test.param.name; });

// Guards against a deployment without teams, or without a bound on withdrawals, whose requests are
// refused because of an old configuration.
TEST(TeamAccess, ChangesNothingThatTheDeploymentDoesNotAskFor) {
  TeamAccess access;
  Route route;
  route.priority = 3;
  EXPECT_FALSE(access.Apply(MakePolicy({})).has_value());
  access.SetLimits({seconds(3), seconds(5)});
  const auto ruling = access.Rule(route, "any", unproved);
  EXPECT_EQ(ruling.outcome, Outcome::kAllowed);
  EXPECT_FALSE(ruling.team.has_value());
  EXPECT_EQ(ruling.route.priority, 3);
  access.Apply(MakePolicy({MakeTeam("blue", {"b"})}));
  access.SetLimits({seconds(3), Duration::zero()});
  EXPECT_EQ(access.Rule(route, "b", unproved).outcome, Outcome::kAllowed);
}

// Guards against requests of all callers that are served because no team's entry could be read.
TEST(TeamAccess, ARejectedTeamOpensNoRoute) {
  TeamAccess access;
  TrafficPolicy policy;
  policy.rejected_teams = {"why"};
  ASSERT_TRUE(access.Apply(policy).has_value());
  EXPECT_EQ(access.Rule(Route(), "b", young).outcome, Outcome::kUnknownKey);
}

// Guards against a request that leaves the regions of its route or those of its team.
TEST(TeamAccess, PriorityAndRegionsOfTheTeamBind) {
  struct {
    std::string route, team, common;
  } const cases[] = {
      {"", "", ""}, {"ab", "", "ab"}, {"", "bc", "bc"}, {"ab", "bc", "b"}, {"ab", "c", "-"}};
  for (const auto& one : cases) {
    auto team = MakeTeam("blue", {"b"});
    team.allowed_regions = Regions(one.team);
    team.priority = 0;
    TeamAccess access;
    access.Apply(MakePolicy({team}));
    Route route;
    route.priority = 2;
    route.allowed_regions = Regions(one.route);
    const auto ruling = access.Rule(route, "b", young);
    EXPECT_EQ(ruling.outcome, one.common == "-" ? Outcome::kNoRegionLeft : Outcome::kAllowed);
    EXPECT_EQ(ruling.route.allowed_regions, Regions(one.common == "-" ? "" : one.common));
    EXPECT_EQ(ruling.route.priority, 0);
  }
}

// Guards against a change of keys that an operator can't see.
TEST(TeamAccess, CountsWhatAConfigurationChanges) {
  TeamAccess access;
  access.Apply(MakePolicy({MakeTeam("blue", {"b1", "b2"}), MakeTeam("red", {"r1"})}));
  const auto change = access.Apply(MakePolicy({MakeTeam("blue", {"b2", "b3", "b4"})}));
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->teams, 1U);
  EXPECT_EQ(change->keys, 3U);
  EXPECT_EQ(change->keys_added, 2U);
  EXPECT_EQ(change->keys_withdrawn, 2U);
}

}  // namespace
}  // namespace heatherspan
