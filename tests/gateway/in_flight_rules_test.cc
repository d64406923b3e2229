#include "gateway/in_flight_rules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/common_regions.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr std::string_view kKey = "key";

/// A configuration as a draw of homes of the request's route and of its team.
struct Version {
  bool has_route = true;
  bool has_key = true;
  std::set<char> route_regions;  ///< All if empty.
  std::set<char> team_regions;

  auto Allows(char region) const -> bool {
    const bool by_route = !has_route || route_regions.empty() || route_regions.contains(region);
    return by_route && (team_regions.empty() || team_regions.contains(region));
  }
};

class InFlightRulesTest : public testing::TestWithParam<int> {
 protected:
  auto DrawRegions() -> std::set<char> {
    std::set<char> regions;
    for (const char region : kRegions) {
      if (random_() % 2 == 0) regions.insert(region);
    }
    return regions;
  }
  auto DrawVersion() -> Version {
    return {random_() % 8 != 0, random_() % 8 != 0, DrawRegions(), DrawRegions()};
  }

  static auto Names(const std::set<char>& letters) -> std::vector<RegionName> {
    std::vector<RegionName> names;
    names.reserve(letters.size());
    for (const char letter : letters) names.emplace_back(std::string(1, letter));
    return names;
  }
  static auto RouteOf(const Version& version) -> Route {
    Route route;
    route.retry_rule = RetryRule::kIdempotent;
    route.timeout = seconds(3);
    route.objective = seconds(1);
    route.max_attempts = 4;
    route.allowed_regions = Names(version.route_regions);
    return route;
  }
  auto Rule(const Version& version, const Route& route) -> TeamAccess::Ruling {
    Team team;
    team.name = TeamName("red");
    team.keys.push_back(AccessKeyDigest::Of(version.has_key ? kKey : "other"));
    team.allowed_regions = Names(version.team_regions);
    TrafficPolicy policy;
    policy.teams = {team};
    access_.Apply(policy);
    return access_.Rule(route, kKey, {});
  }

  static constexpr std::string_view kRegions = "abc";
  Random random_{static_cast<Random::result_type>(GetParam())};
  TeamAccess access_;
};

// Guards against an attempt in a region that the version at the arrival or the one in force does
// not allow, after any number of versions and attempts between, against one that is refused though
// a region is left, and against a refusal that promises what is not known.
TEST_P(InFlightRulesTest, AnAttemptFollowsTheArrivalAndTheVersionInForce) {
  constexpr int kRequests = 300;
  for (int i = 0; i < kRequests; ++i) {
    auto arrival = DrawVersion();
    arrival.has_route = true;
    arrival.has_key = true;
    ForwardedRequest::Attributes attributes;
    const auto ruling = Rule(arrival, RouteOf(arrival));
    if (ruling.outcome != TeamAccess::Outcome::kAllowed) continue;
    attributes.route = ruling.route;
    attributes.config = ConfigVersion(1);
    attributes.arrived = kStart;
    attributes.caller_timeout = seconds(4);
    ForwardedRequest request(attributes);
    std::uint64_t number = 1;
    auto verdict = Verdict::kNotRun;
    for (int attempt = 0; attempt < 3; ++attempt) {
      // The first attempt may follow a wait, too.
      const auto now = DrawVersion();
      const auto in_force = RouteOf(now);
      const auto route = InFlightRules::RouteFor(request, now.has_route ? &in_force : nullptr);
      const bool may_go_on =
          InFlightRules::Apply(request, ruling.team, ConfigVersion(++number), Rule(now, route));
      std::set<char> left;
      for (const char region : kRegions) {
        if (now.has_key && arrival.Allows(region) && now.Allows(region)) left.insert(region);
      }
      ASSERT_EQ(may_go_on, !left.empty()) << "request " << i << ", attempt " << attempt;
      if (!may_go_on) {
        ASSERT_EQ(request.OnNoTarget(),
                  verdict == Verdict::kNotRun ? RequestStep::kRefuse : RequestStep::kFail);
        break;
      }
      ASSERT_EQ(request.ruled_by(), ConfigVersion(number));
      const auto& kept = request.attributes().route.allowed_regions;
      for (const char region : kRegions) {
        const auto only = Names({region});
        ASSERT_EQ(CommonRegions(kept, only).has_value(), left.contains(region))
            << "request " << i << ", attempt " << attempt << ", region " << region;
      }
      request.OnSent(TargetName("t" + std::to_string(attempt)));
      const auto end = random_() % 2 == 0 ? AttemptOutcome::kRefused : AttemptOutcome::kLost;
      verdict = std::max(verdict, VerdictOf(end));
      ASSERT_EQ(request.OnEnd(end, kStart, [] { return true; }), RequestStep::kPlace);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, InFlightRulesTest, testing::Range(1, 21));

}  // namespace
}  // namespace heatherspan
