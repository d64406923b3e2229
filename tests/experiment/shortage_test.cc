#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "experiment/load_simulation.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

/// Three kinds of requests from many entry VMs compete for targets of uneven regions. There are
/// more objects than the targets cache well, and more work than they do with cold caches.
auto Shortage(double requests_per_second) -> LoadScenario {
  LoadScenario scenario;
  const std::vector<std::pair<std::string, int>> regions = {{"b", 8}, {"t", 9}, {"w", 2}};
  constexpr int kVmsPerZone = 8;
  double phase = 0.4;
  for (const auto& [region, targets] : regions) {
    for (const auto* zone : {"a", "b"}) {
      scenario.zones.push_back({ZoneName(region + zone), RegionName(region), kVmsPerZone, targets,
                                requests_per_second, phase});
    }
    phase += 0.33;
  }
  scenario.cached_objects = 30;
  const auto add = [&](std::string name, double share, int priority, RetryRule rule, int objects,
                       int work_ms, int objective_ms, int caller_ms) {
    scenario.kinds.push_back({std::move(name), share, priority, rule, objects,
                              milliseconds(work_ms), milliseconds(objective_ms),
                              milliseconds(caller_ms), milliseconds(caller_ms)});
  };
  add("read", 5.5, 2, RetryRule::kIdempotent, 280, 300, 300, 2000);
  add("pay", 1.7, 1, RetryRule::kAtMostOnce, 86, 370, 400, 2000);
  add("refund", 0.4, 0, RetryRule::kAtMostOnce, 81, 210, 300, 1200);
  return scenario;
}

/// The share of the credit that requests earn: a late response counts a fifth.
auto Credit(const RequestCounts& counts) -> double {
  constexpr double kLateCredit = 0.2;
  return counts.InTimeFraction() +
         kLateCredit * (counts.ServedFraction() - counts.InTimeFraction());
}

class ShortageTest : public testing::TestWithParam<std::uint64_t> {};

// Load: twice as much work as the targets can do with the hits that their caches give, from entry
// VMs that each hear of a target too seldom to see its queue. Guards against queues that are kept
// full of late work, so that nearly all is late; and against shares that don't follow the urgency
// of a kind.
TEST_P(ShortageTest, LateWorkGivesWayAndUrgentKindsAreServedFirst) {
  auto scenario = Shortage(120);
  scenario.seed = GetParam();
  auto outcome = LoadSimulation(scenario).Run();
  EXPECT_GT(outcome.total.InTimeFraction(), 0.2);
  // What the targets shed has cost the caller a round trip and a retry.
  EXPECT_LT(outcome.target_refusals, outcome.arrivals / 10);
  constexpr double kServedMargin = 0.05;
  constexpr double kCreditMargin = 0.15;
  constexpr double kStarved = 0.25;
  const std::vector<std::string> by_urgency = {"refund", "pay", "read"};
  for (std::size_t i = 0; i < by_urgency.size(); ++i) {
    const auto& counts = outcome.by_kind[by_urgency[i]];
    EXPECT_GT(counts.ServedFraction(), kStarved * outcome.total.ServedFraction());
    for (std::size_t j = i + 1; j < by_urgency.size(); ++j) {
      const auto& less_urgent = outcome.by_kind[by_urgency[j]];
      EXPECT_GT(counts.ServedFraction(), less_urgent.ServedFraction() - kServedMargin);
      EXPECT_GT(Credit(counts), Credit(less_urgent) - kCreditMargin);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShortageTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace heatherspan
