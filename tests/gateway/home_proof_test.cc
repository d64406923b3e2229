#include "gateway/home_proof.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto HomeRoute() -> Route {
  Route route;
  route.allowed_regions = {RegionName("r")};
  return route;
}

// Guards against a request that is placed by homes that may have changed longer ago than the bound,
// and against one without homes that is refused for it.
TEST(HomeProofTest, OnlyHomesNeedARecentState) {
  HomeProof proof;
  proof.SetBound(seconds(3));
  EXPECT_TRUE(proof.Allows(HomeRoute(), seconds(3)));
  EXPECT_FALSE(proof.Allows(HomeRoute(), milliseconds(3001)));
  EXPECT_TRUE(proof.Allows(Route(), seconds(3600)));
}

// Guards against a report of homes that are too old where nothing has any, and against none where
// only a team has.
TEST(HomeProofTest, RoutesAndTeamsHaveHomes) {
  HomeProof proof;
  TrafficPolicy policy;
  policy.routes = {Route()};
  policy.teams = {Team()};
  proof.Apply(policy);
  EXPECT_FALSE(proof.has_homes());
  policy.teams.front().allowed_regions = {RegionName("r")};
  proof.Apply(policy);
  EXPECT_TRUE(proof.has_homes());
  policy.teams.clear();
  policy.routes = {HomeRoute()};
  proof.Apply(policy);
  EXPECT_TRUE(proof.has_homes());
}

}  // namespace
}  // namespace heatherspan
