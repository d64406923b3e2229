#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "experiment/store_spread_simulation.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The shortest time within which a configuration has to be in force, of all deployments.
constexpr Duration kApplyBound = milliseconds(2500);
constexpr const char* kConfiguration = "configuration";
/// A configuration of the largest size, with the item's other fields.
constexpr std::size_t kLargeBytes = std::size_t{1400} * 1000;

/// Writes a large configuration several times, and returns how long the last version takes to be
/// known at all VMs, at most 10 s.
auto TimeToSettle(StoreSpreadSimulation& simulation, std::size_t bytes, int versions, Duration gap)
    -> Duration {
  for (int i = 0; i < versions; ++i) {
    if (i > 0) simulation.RunFor(gap);
    simulation.Put(kConfiguration, bytes);
  }
  const auto start = simulation.now();
  const auto is_known = [&] {
    for (std::size_t vm = 0; vm < simulation.vm_count(); ++vm) {
      if (simulation.ItemsAt(vm) != simulation.StoreItems()) return false;
    }
    return true;
  };
  while (!is_known() && simulation.now() - start < seconds(10)) simulation.RunFor(milliseconds(20));
  return simulation.now() - start;
}

// Guards against a watch that is made again, with the same result, because all versions together
// are more than a VM reads at once.
TEST(LargeItem, ALargeConfigurationThatChangesFastIsKnownInTime) {
  for (const std::size_t vm_count : {7, 34}) {
    auto slowest = Duration::zero();
    int calls = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      StoreSpreadSimulation simulation({.vm_count = vm_count, .seed = seed});
      simulation.Put(kConfiguration, kLargeBytes);
      simulation.RunFor(seconds(6) + milliseconds(seed * 25));
      const auto calls_before = simulation.store_calls();
      slowest = std::max(slowest, TimeToSettle(simulation, kLargeBytes, 25, milliseconds(60)));
      calls = std::max(calls, simulation.store_calls() - calls_before);
    }
    EXPECT_LE(slowest, kApplyBound) << vm_count << " VMs";
    EXPECT_LE(calls, 10 * static_cast<int>(vm_count));
  }
}

// Guards against a watch that is made again beside one whose answer is arriving: both share a link
// of 10 Mbit/s.
TEST(LargeItem, ACallWhoseAnswerArrivesIsNotDoubled) {
  constexpr int kVersions = 6;
  const auto calls = [](std::size_t bytes) {
    StoreSpreadSimulation simulation({.peers_ask = false, .link_bytes_per_second = 1'250'000});
    simulation.Put(kConfiguration, bytes);
    simulation.RunFor(seconds(6));
    const auto calls_before = simulation.store_calls();
    EXPECT_LE(TimeToSettle(simulation, bytes, kVersions, seconds(4)), kApplyBound);
    return simulation.store_calls() - calls_before;
  };
  EXPECT_LE(calls(kLargeBytes), calls(0));
}

// Guards against a watch that is made again although the versions in its answer take longer on the
// link than the call may: the last version alone takes 1.1 s on a link of 5 Mbit/s.
TEST(LargeItem, AVmWithASlowLinkReadsTheLastVersionAlone) {
  auto slowest = Duration::zero();
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    StoreSpreadSimulation simulation(
        {.peers_ask = false, .link_bytes_per_second = 625'000, .seed = seed});
    simulation.Put(kConfiguration, kLargeBytes / 2);
    simulation.RunFor(seconds(6) + milliseconds(seed * 25));
    slowest = std::max(slowest, TimeToSettle(simulation, kLargeBytes / 2, 3, milliseconds(60)));
  }
  EXPECT_LE(slowest, seconds(6));
}

// Guards against peers that fill the links with the same configuration: 44 of 58 VMs have links of
// 10 Mbit/s, the first 14 of 200. The parameter: 1 for values that can't be made smaller.
class SlowLinks : public testing::TestWithParam<double> {};

TEST_P(SlowLinks, AChangingConfigurationIsKnownInTimeAndFillsNoLink) {
  constexpr std::size_t kBytes = std::size_t{700} * 1000;
  constexpr std::size_t kFastVms = 14;
  constexpr std::size_t kMaxTimes = 6;
  // A VM with a fast link may give a value that can't be made smaller to each slow one.
  const std::size_t fast_max_times = GetParam() < 1 ? 8 : 40;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    StoreSpreadSimulation simulation({.vm_count = 58,
                                      .region_count = 3,
                                      .zones_per_region = 2,
                                      .link_bytes_per_second = 1'250'000,
                                      .fast_vms = kFastVms,
                                      .packed_fraction = GetParam(),
                                      .seed = seed});
    simulation.Put(kConfiguration, kBytes);
    simulation.RunFor(seconds(15));
    std::vector<std::size_t> before;
    for (std::size_t vm = 0; vm < simulation.vm_count(); ++vm) {
      before.push_back(simulation.peer_bytes(vm));
    }
    const auto slowest = TimeToSettle(simulation, kBytes, 2, seconds(3));
    simulation.RunFor(seconds(5));
    EXPECT_LE(slowest, kApplyBound) << "seed " << seed;
    for (std::size_t vm = 0; vm < simulation.vm_count(); ++vm) {
      EXPECT_LE(simulation.peer_bytes(vm) - before[vm],
                (vm < kFastVms ? fast_max_times : kMaxTimes) * kBytes)
          << "seed " << seed << " VM " << vm;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Packed, SlowLinks, testing::Values(1.0, 0.1));

}  // namespace
}  // namespace heatherspan
