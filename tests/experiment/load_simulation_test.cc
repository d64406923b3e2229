#include "experiment/load_simulation.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two zones in each of three regions with uneven capacity and equal traffic.
auto ThreeRegions(int entry_vms, int targets, double requests_per_second) -> LoadScenario {
  LoadScenario scenario;
  const std::vector<std::pair<std::string, double>> regions = {{"s", 1}, {"p", 1.5}, {"v", 0.5}};
  double phase = 0.4;
  for (const auto& [region, size] : regions) {
    for (const auto* zone : {"a", "b"}) {
      scenario.zones.push_back({ZoneName(region + zone), RegionName(region), entry_vms,
                                static_cast<int>(targets * size), requests_per_second, phase});
    }
    phase += 0.33;
  }
  return scenario;
}

class LoadSimulationTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  auto Play(LoadScenario scenario) -> LoadOutcome {
    scenario.seed = GetParam();
    return LoadSimulation(scenario).Run();
  }
};

// Load: many entry VMs, frequent requests for the same objects, targets that cache few of them.
// Guards against entry VMs that each choose a different target for an object: most requests at a
// target are then cache misses.
TEST_P(LoadSimulationTest, EntryVmsUseOnePrimaryTargetForEachObject) {
  auto scenario = ThreeRegions(4, 18, 76);
  scenario.objects_per_region = 113;
  const auto outcome = Play(scenario);
  EXPECT_LT(outcome.uncached_runs, 2.5 * outcome.distinct_objects);
  EXPECT_GT(outcome.Between(8, 30).InTimeFraction(), 0.9);
  EXPECT_GT(outcome.total.ServedFraction(), 0.98);
}

// Load: equal traffic in all regions, a sixth of the targets in the smallest region. Guards against
// overloaded targets in this region while targets of other regions are idle.
TEST_P(LoadSimulationTest, SmallRegionsAreServedLikeOtherRegions) {
  auto scenario = ThreeRegions(4, 14, 76);
  scenario.objects_per_region = 80;
  const auto outcome = Play(scenario);
  EXPECT_GT(outcome.WorstZoneInTimeFraction(), outcome.total.InTimeFraction() - 0.15);
  EXPECT_LT(outcome.target_refusals, outcome.arrivals / 50);
}

// Load: a zone of targets is evacuated at the peak of its region's traffic wave. Guards against
// refusals while another region has capacity.
TEST_P(LoadSimulationTest, LoadOfAnEvacuatedZoneMovesToOtherTargets) {
  auto scenario = ThreeRegions(2, 8, 20);
  scenario.objects_per_region = 40;
  scenario.faults = {
      {ScenarioFault::Kind::kEvacuation, seconds(10), seconds(10), ZoneName("sa"), 1, 1}};
  const auto outcome = Play(scenario);
  EXPECT_GT(outcome.Between(14, 20).InTimeFraction(), 0.8);
  EXPECT_GT(outcome.total.ServedFraction(), 0.97);
}

// Load: a third of a zone's targets is lost. Guards against requests that are sent to the lost
// targets again and again.
TEST_P(LoadSimulationTest, LostTargetsGetNoFurtherRequests) {
  auto scenario = ThreeRegions(2, 8, 20);
  scenario.objects_per_region = 40;
  scenario.faults = {{ScenarioFault::Kind::kTargetsLost, seconds(10), {}, ZoneName("pa"), 0.33, 1}};
  const auto outcome = Play(scenario);
  EXPECT_GT(outcome.total.ServedFraction(), 0.98);
  EXPECT_GT(outcome.Between(14, 30).InTimeFraction(), 0.85);
}

// Load: half of a zone's targets, an eighth of all, takes eight times as long. Guards against slow
// targets that get as many requests as before while the other targets are idle.
TEST_P(LoadSimulationTest, SlowTargetsGetFewerRequests) {
  auto scenario = ThreeRegions(2, 8, 20);
  scenario.objects_per_region = 40;
  scenario.faults = {
      {ScenarioFault::Kind::kTargetsSlow, seconds(10), seconds(10), ZoneName("pa"), 0.5, 8}};
  const auto outcome = Play(scenario);
  EXPECT_GT(outcome.total.ServedFraction(), 0.97);
  EXPECT_GT(outcome.Between(13, 20).InTimeFraction(), 0.8);
}

// Load: four times the usual traffic in all zones for some seconds, more than the capacity of all
// targets. Guards against an overload that outlasts its cause: full queues divert requests to
// targets without the objects in their caches, each request then takes three times as long, and the
// queues never drain.
TEST_P(LoadSimulationTest, OverloadEndsWithTheBurst) {
  auto scenario = ThreeRegions(2, 3, 20);
  scenario.objects_per_region = 24;
  const auto no_burst = Play(scenario);
  for (const auto& zone : scenario.zones) {
    scenario.faults.push_back(
        {ScenarioFault::Kind::kBurst, seconds(10), seconds(6), zone.zone, 1, 4});
  }
  const auto outcome = Play(scenario);
  EXPECT_LT(outcome.total.failed, outcome.total.submitted / 20);
  EXPECT_GT(outcome.Between(22, 30).InTimeFraction(),
            no_burst.Between(22, 30).InTimeFraction() - 0.1);
  // Requests that can't be served are refused at once, and accepted requests are served.
  EXPECT_GT(outcome.Between(10, 16).ServedFraction(), 0.2);
}

// Load: new targets with empty caches join. Guards against new targets that get no requests, and
// against more requests than they can process while they are cold.
TEST_P(LoadSimulationTest, JoinedTargetsGetRequests) {
  auto scenario = ThreeRegions(2, 8, 20);
  scenario.objects_per_region = 40;
  scenario.faults = {{ScenarioFault::Kind::kTargetsJoin, seconds(10), {}, ZoneName("sa"), 0.5, 1}};
  const auto outcome = Play(scenario);
  int joined = 0;
  for (const auto& [name, arrivals] : outcome.arrivals_by_target) {
    const auto number = std::stoi(name.value().substr(name.value().rfind('-') + 1));
    if (number >= 48) ++joined;
  }
  EXPECT_EQ(joined, 4);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LoadSimulationTest, testing::Values(1, 2, 3, 4, 5));

// Guards against a simulation whose runs can't be reproduced.
TEST(LoadSimulation, RunsWithTheSameSeedAreEqual) {
  auto scenario = ThreeRegions(2, 4, 10);
  scenario.objects_per_region = 20;
  const auto a = LoadSimulation(scenario).Run();
  const auto b = LoadSimulation(scenario).Run();
  EXPECT_EQ(a.total.in_time, b.total.in_time);
  EXPECT_EQ(a.uncached_runs, b.uncached_runs);
  EXPECT_EQ(a.arrivals_by_target, b.arrivals_by_target);
}

}  // namespace
}  // namespace heatherspan
