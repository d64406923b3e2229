#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "experiment/store_spread_simulation.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reach = StoreSpreadSimulation::Reach;

constexpr std::uint64_t kSchedules = 1500;
/// The shortest time within which a configuration has to be in force, of all deployments.
constexpr Duration kApplyBound = milliseconds(2500);
/// The shortest time after which a leaving target must get no request, of all deployments, and the
/// longest way of a request to a target.
constexpr Duration kDrainBound = milliseconds(2500);
constexpr Duration kGrownDrainBound = milliseconds(3000);
constexpr Duration kWayToTarget = milliseconds(35);
/// The deployments hold VMs to their bounds when the store has been well for so long.
constexpr Duration kStableTime = seconds(4);
constexpr const char* kConfiguration = "configuration";
constexpr std::array<std::pair<std::size_t, Duration>, 5> kSizesAndBounds = {
    {{7, kDrainBound},
     {27, kDrainBound},
     {34, kDrainBound},
     {27, kGrownDrainBound},
     {34, kGrownDrainBound}}};

auto Item(std::uint64_t number) -> std::string { return "item-" + std::to_string(number % 30); }

/// Writes items, then breaks the reach of the chosen VMs, and returns how long a configuration
/// takes to reach all VMs that are not frozen, at most 10 s.
template <class Choose>
auto TimeToReachAll(StoreSpreadSimulation::Options options, Reach reach, Choose is_chosen)
    -> Duration {
  StoreSpreadSimulation simulation(options);
  for (int i = 0; i < 30; ++i) simulation.Put(Item(i));
  simulation.Put(kConfiguration);
  simulation.RunFor(seconds(6));
  for (std::size_t vm = 0; vm < simulation.vm_count(); ++vm) {
    if (is_chosen(simulation, vm)) simulation.SetReach(vm, reach);
  }
  Random random(options.seed);
  simulation.RunFor(milliseconds(random() % 3000));
  simulation.Put(kConfiguration);
  const auto written = simulation.StoreItems().at(kConfiguration);
  const auto start = simulation.now();
  const auto is_known = [&] {
    for (std::size_t vm = 0; vm < simulation.vm_count(); ++vm) {
      if (!simulation.reach(vm).frozen && simulation.WriteAt(vm, kConfiguration) != written) {
        return false;
      }
    }
    return true;
  };
  while (!is_known() && simulation.now() - start < seconds(10)) simulation.RunFor(milliseconds(20));
  return simulation.now() - start;
}

auto NoVm(const StoreSpreadSimulation& /*simulation*/, std::size_t /*vm*/) -> bool { return false; }

// Guards against an entry VM that goes on with an old configuration because the store turns just
// this VM away or doesn't answer its calls.
TEST(StoreSpread, AVmThatTheStoreTurnsAwayLearnsFromItsPeers) {
  const auto all_but_three = [](const auto& /*simulation*/, std::size_t vm) { return vm >= 3; };
  auto slowest = Duration::zero();
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    slowest = std::max(slowest, TimeToReachAll({.seed = seed}, {.store = false}, all_but_three));
  }
  EXPECT_LE(slowest, kApplyBound);
  // The check can fail: without peers, a VM that is turned away learns nothing.
  EXPECT_GT(TimeToReachAll({.peers_ask = false}, {.store = false}, all_but_three), kApplyBound);
}

// Guards against VMs that wait for the readers of their zone while these are frozen or turned away.
TEST(StoreSpread, VmsDoNotDependOnTheReadersOfTheirZone) {
  const auto readers_of_three_zones = [](const StoreSpreadSimulation& simulation, std::size_t vm) {
    return vm % 2 == 0 && simulation.IsReader(vm);
  };
  for (const auto& reach : {Reach{.store = false}, Reach{.frozen = true}, Reach{.peers = false}}) {
    auto slowest = Duration::zero();
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      slowest = std::max(
          slowest, TimeToReachAll({.vm_count = 34, .seed = seed}, reach, readers_of_three_zones));
    }
    EXPECT_LE(slowest, kApplyBound);
  }
}

/// Turns some VMs away without an answer, freezes others a little later, and returns how long the
/// change takes to have its effect at all VMs that are not frozen, at most 10 s.
template <class Change, class HasEffect>
auto TimeToReachAllDuringFaults(std::size_t vm_count, Duration bound, std::uint64_t seed,
                                Change change, HasEffect has_effect) -> Duration {
  StoreSpreadSimulation simulation({.vm_count = vm_count, .change_bound = bound, .seed = seed});
  for (int i = 0; i < 30; ++i) simulation.Put(Item(i));
  simulation.Put(kConfiguration);
  simulation.RunFor(seconds(6));
  Random random(seed);
  std::vector<std::size_t> vms(vm_count);
  std::iota(vms.begin(), vms.end(), 0U);
  std::shuffle(vms.begin(), vms.end(), random);
  const auto turned_away = vm_count * 2 / 5;
  const auto frozen = vm_count / 3;
  for (std::size_t i = 0; i < turned_away; ++i) simulation.SetReach(vms[i], {.store = false});
  // Items change all the time, as targets and entry VMs come and go.
  const auto run = [&](std::uint64_t max_milliseconds) {
    for (auto left = random() % max_milliseconds; left > 0;
         left -= std::min<std::uint64_t>(left, 400)) {
      simulation.RunFor(milliseconds(std::min<std::uint64_t>(left, 400)));
      if (random() % 2 == 0) simulation.Put(Item(random()));
    }
  };
  run(4000);
  for (std::size_t i = 0; i < frozen; ++i) {
    simulation.SetReach(vms[turned_away + i], {.frozen = true});
  }
  run(2500);
  change(simulation);
  const auto start = simulation.now();
  const auto is_known = [&] {
    return std::all_of(vms.begin(), vms.end(), [&](std::size_t vm) {
      return simulation.reach(vm).frozen || has_effect(simulation, vm);
    });
  };
  while (!is_known() && simulation.now() - start < seconds(10)) simulation.RunFor(milliseconds(20));
  return simulation.now() - start;
}

/// Expects that the change has its effect in time at 7, 27 and 34 VMs, within the shortest drain
/// bound and within the one of the deployments of that size.
template <class Change, class HasEffect>
auto ExpectInTimeDuringFaults(Change change, HasEffect has_effect) -> void {
  for (const auto& [vm_count, bound] : kSizesAndBounds) {
    auto slowest = Duration::zero();
    std::uint64_t slowest_seed = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      const auto time = TimeToReachAllDuringFaults(vm_count, bound, seed, change, has_effect);
      if (time > slowest) {
        slowest = time;
        slowest_seed = seed;
      }
    }
    EXPECT_LE(slowest, bound - kWayToTarget) << vm_count << " VMs, seed " << slowest_seed;
  }
}

// Guards against requests to a target that said seconds ago that it leaves: a VM that the store
// would answer follows a reader that hears nothing, while the peers that know more are frozen.
TEST(StoreSpread, ChangesArriveInTimeWhileReadersHearNothingAndPeersFreeze) {
  ExpectInTimeDuringFaults(
      [](StoreSpreadSimulation& simulation) { simulation.Put(kConfiguration); },
      [](const StoreSpreadSimulation& simulation, std::size_t vm) {
        return simulation.WriteAt(vm, kConfiguration) == simulation.StoreItems().at(kConfiguration);
      });
}

// Guards against requests to a target whose registration was removed seconds ago, because those who
// pass the removal on have lost the store themselves and doubt it.
TEST(StoreSpread, RemovalsTakeEffectInTimeWhileReadersHearNothingAndPeersFreeze) {
  ExpectInTimeDuringFaults(
      [](StoreSpreadSimulation& simulation) { simulation.Remove(kConfiguration); },
      [](const StoreSpreadSimulation& simulation, std::size_t vm) {
        return !simulation.Uses(vm, kConfiguration);
      });
}

/// Lets the store answer no VM for some seconds, then all again, while items change.
class OutageForAll {
 public:
  OutageForAll(std::size_t vm_count, Duration bound, std::uint64_t seed)
      : random_(seed), simulation_({.vm_count = vm_count, .change_bound = bound, .seed = seed}) {
    for (int i = 0; i < 30; ++i) simulation_.Put(Item(i));
    simulation_.Put(kConfiguration);
    simulation_.RunFor(seconds(6) + milliseconds(Draw(1000)));
    SetStoreReach(false);
  }

  auto SetStoreReach(bool reach) -> void {
    for (std::size_t vm = 0; vm < simulation_.vm_count(); ++vm) {
      simulation_.SetReach(vm, {.store = reach});
    }
  }
  /// Runs for the time while items are written, as targets and entry VMs come and go.
  auto RunFor(Duration time) -> void {
    constexpr auto kStep = milliseconds(400);
    for (; time > kStep; time -= kStep) {
      simulation_.RunFor(kStep);
      if (Draw(2) == 0) simulation_.Put(Item(Draw(30)));
    }
    simulation_.RunFor(time);
  }
  auto Draw(std::uint64_t limit) -> std::uint64_t { return random_() % limit; }
  auto simulation() -> StoreSpreadSimulation& { return simulation_; }
  auto AllUse(const char* key) const -> bool { return CountUsing(key) == simulation_.vm_count(); }
  auto AllKnow(const char* key) const -> bool {
    const auto write = simulation_.StoreItems().at(key);
    for (std::size_t vm = 0; vm < simulation_.vm_count(); ++vm) {
      if (simulation_.WriteAt(vm, key) != write) return false;
    }
    return true;
  }
  auto NoneUses(const char* key) const -> bool { return CountUsing(key) == 0; }

 private:
  auto CountUsing(const char* key) const -> std::size_t {
    std::size_t count = 0;
    for (std::size_t vm = 0; vm < simulation_.vm_count(); ++vm) count += simulation_.Uses(vm, key);
    return count;
  }

  Random random_;
  StoreSpreadSimulation simulation_;
};

// Guards against requests to a target that left some seconds after an outage of the store, because
// VMs go on to doubt removals and renew each other's doubt.
TEST(StoreSpread, RemovalsTakeEffectInTimeAfterAnOutage) {
  for (const auto& [vm_count, bound] : kSizesAndBounds) {
    auto slowest = Duration::zero();
    std::uint64_t slowest_seed = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      OutageForAll outage(vm_count, bound, seed);
      outage.RunFor(milliseconds(3000 + outage.Draw(5000)));
      outage.SetStoreReach(true);
      outage.RunFor(kStableTime + milliseconds(outage.Draw(4000)));
      outage.simulation().Remove(kConfiguration);
      const auto start = outage.simulation().now();
      while (!outage.NoneUses(kConfiguration) && outage.simulation().now() - start < seconds(10)) {
        outage.simulation().RunFor(milliseconds(20));
      }
      const auto time = outage.simulation().now() - start;
      if (time > slowest) {
        slowest = time;
        slowest_seed = seed;
      }
    }
    EXPECT_LE(slowest, bound - kWayToTarget) << vm_count << " VMs, seed " << slowest_seed;
  }
}

// Guards against running targets that fall out of use because their registrations expired while the
// store was away: they are back within two seconds of its return.
TEST(StoreSpread, RegistrationsThatReturnAfterAnOutageStayInUse) {
  for (const std::size_t vm_count : {7, 27, 34}) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      OutageForAll outage(vm_count, kDrainBound, seed);
      outage.RunFor(milliseconds(4500 + outage.Draw(4000)));
      outage.simulation().Remove(kConfiguration);
      const auto back = outage.simulation().now();
      outage.SetStoreReach(true);
      outage.RunFor(milliseconds(outage.Draw(2000)));
      ASSERT_TRUE(outage.AllUse(kConfiguration)) << vm_count << " VMs, seed " << seed;
      outage.simulation().Put(kConfiguration);
      while (outage.simulation().now() - back < seconds(8)) {
        outage.simulation().RunFor(milliseconds(20));
        ASSERT_TRUE(outage.AllUse(kConfiguration)) << vm_count << " VMs, seed " << seed;
      }
    }
  }
}

/// An outage for all at whose end the store is some seconds older. What was written since is
/// written again within two seconds.
class RestoredStore {
 public:
  RestoredStore(std::size_t vm_count, Duration bound, std::uint64_t seed)
      : outage_(vm_count, bound, seed) {
    outage_.SetStoreReach(true);
    for (int i = 0; i < 4; ++i) {
      outage_.simulation().Put(kConfiguration);
      outage_.RunFor(milliseconds(500 + outage_.Draw(2500)));
    }
    outage_.SetStoreReach(false);
    outage_.RunFor(milliseconds(500 + outage_.Draw(2500)));
    const auto before = outage_.simulation().StoreItems();
    outage_.simulation().Restore(milliseconds(1000 + outage_.Draw(9000)));
    outage_.SetStoreReach(true);
    outage_.RunFor(milliseconds(outage_.Draw(2000)));
    const auto after = outage_.simulation().StoreItems();
    for (const auto& [key, write] : before) {
      if (!after.contains(key) || after.at(key) != write) outage_.simulation().Put(key);
    }
    // Without further writes, the store's revision stays below the one that the VMs had.
    const auto time = kStableTime + milliseconds(outage_.Draw(3000));
    outage_.Draw(2) == 0 ? outage_.simulation().RunFor(time) : outage_.RunFor(time);
  }
  auto outage() -> OutageForAll& { return outage_; }

 private:
  OutageForAll outage_;
};

/// Returns how long it takes at most until the change has its effect at all VMs after the store has
/// come back from a copy.
template <class Change, class HasEffect>
auto TimeToReachAllAfterARestore(std::size_t vm_count, Duration bound, Change change,
                                 HasEffect has_effect) -> Duration {
  auto slowest = Duration::zero();
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RestoredStore store(vm_count, bound, seed);
    auto& outage = store.outage();
    change(outage.simulation());
    const auto start = outage.simulation().now();
    while (!has_effect(outage) && outage.simulation().now() - start < seconds(10)) {
      outage.simulation().RunFor(milliseconds(20));
    }
    slowest = std::max(slowest, outage.simulation().now() - start);
  }
  return slowest;
}

// Guards against VMs that drop a change because its revision was used before the store came back
// from a copy.
TEST(StoreSpread, ChangesAreInForceInTimeAfterTheStoreIsRestored) {
  for (const auto& [vm_count, bound] : kSizesAndBounds) {
    EXPECT_LE(TimeToReachAllAfterARestore(
                  vm_count, bound,
                  [](StoreSpreadSimulation& simulation) { simulation.Put(kConfiguration); },
                  [](OutageForAll& outage) { return outage.AllKnow(kConfiguration); }),
              bound)
        << vm_count << " VMs";
  }
}

// Guards against targets that stay in use because their removal has a revision that was used
// before.
TEST(StoreSpread, RemovalsTakeEffectInTimeAfterTheStoreIsRestored) {
  for (const auto& [vm_count, bound] : kSizesAndBounds) {
    EXPECT_LE(TimeToReachAllAfterARestore(
                  vm_count, bound,
                  [](StoreSpreadSimulation& simulation) { simulation.Remove(kConfiguration); },
                  [](OutageForAll& outage) { return outage.NoneUses(kConfiguration); }),
              bound - kWayToTarget)
        << vm_count << " VMs";
  }
}

/// VMs start again while the store is away or just as it is back from an older copy. It refuses
/// some of them for a moment longer.
class StartsInARestore {
 public:
  StartsInARestore(std::size_t vm_count, std::uint64_t seed)
      : outage_(vm_count, kApplyBound, seed) {
    using Refusal = StoreSpreadSimulation::Refusal;
    auto& simulation = outage_.simulation();
    SetRefusal(Refusal::kReset, 1);
    simulation.RunFor(milliseconds(1400));
    simulation.Restore(milliseconds(2000 + outage_.Draw(3000)));
    std::map<std::uint64_t, std::vector<std::size_t>> starts;
    for (std::size_t vm = 0; vm < vm_count; ++vm) {
      if (outage_.Draw(2) == 0) starts[outage_.Draw(700)].push_back(vm);
    }
    const auto back = outage_.Draw(700);
    const auto served = back + outage_.Draw(300);
    for (std::uint64_t time = 0; time <= 1000; ++time) {
      for (const auto vm : starts[time]) simulation.Restart(vm);
      if (time == back) {
        SetRefusal(Refusal::kNone, 1);
        SetRefusal(Refusal::kBusy, 3);
      }
      if (time == served) SetRefusal(Refusal::kNone, 1);
      simulation.RunFor(milliseconds(1));
    }
    simulation.RunFor(kStableTime);
  }
  auto outage() -> OutageForAll& { return outage_; }

 private:
  /// For each VM whose number is a multiple of `step`.
  auto SetRefusal(StoreSpreadSimulation::Refusal refusal, std::size_t step) -> void {
    auto& simulation = outage_.simulation();
    for (std::size_t vm = 0; vm < simulation.vm_count(); vm += step) {
      simulation.SetReach(vm, {.refusal = refusal});
    }
  }

  OutageForAll outage_;
};

// Guards against a VM that starts as the store comes back from an older copy, drops the answer to
// its listing for a peer's state of the era before, and never calls the store again.
TEST(StoreSpread, VmsThatStartInARestoreFollowTheStore) {
  for (const std::size_t vm_count : {4, 7, 34}) {
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
      StartsInARestore starts(vm_count, seed);
      auto& outage = starts.outage();
      outage.simulation().Put(kConfiguration);
      outage.simulation().RunFor(kApplyBound);
      ASSERT_TRUE(outage.AllKnow(kConfiguration)) << vm_count << " VMs, seed " << seed;
    }
  }
}

// Guards against calls to the store that grow with the number of VMs, and against changes that
// arrive late at those that don't read it.
TEST(StoreSpread, CallsGrowWithTheZones) {
  const auto calls_with = [](std::size_t vm_count) {
    StoreSpreadSimulation simulation({.vm_count = vm_count});
    for (int i = 0; i < 10; ++i) simulation.Put(Item(i));
    simulation.RunFor(seconds(5));
    const auto before = simulation.store_calls();
    for (int i = 0; i < 100; ++i) {
      simulation.Put(Item(i));
      simulation.RunFor(milliseconds(300));
    }
    return simulation.store_calls() - before;
  };
  const auto calls = calls_with(24);
  EXPECT_LT(calls_with(119), calls * 5 / 4);
  for (const std::size_t vm_count : {7, 34, 119, 301}) {
    EXPECT_LE(TimeToReachAll({.vm_count = vm_count}, {}, NoVm), milliseconds(2000)) << vm_count;
  }
}

// Guards against VMs that read the store, and search among all others, beside a reader that is
// well.
TEST(StoreSpread, StatesStayYoungWhileAllIsWell) {
  for (const std::size_t vm_count : {7, 34, 119}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      StoreSpreadSimulation simulation(
          {.vm_count = vm_count, .change_bound = milliseconds(2000 + 500 * seed), .seed = seed});
      for (int i = 0; i < 30; ++i) simulation.Put(Item(i));
      simulation.RunFor(seconds(5));
      const auto before = simulation.old_states();
      Random random(seed);
      for (int i = 0; i < 60; ++i) {
        simulation.RunFor(milliseconds(random() % 3000));
        simulation.Put(Item(random()));
      }
      ASSERT_EQ(simulation.old_states(), before) << vm_count << " VMs, seed " << seed;
    }
  }
}

// Guards against a VM that is back from a cut, finds the store's history gone and goes on with what
// it knew while it lists the store.
TEST(StoreSpread, AVmBackFromACutCatchesUpWithinASecondAndAHalf) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    StoreSpreadSimulation simulation({.vm_count = 30, .seed = seed});
    for (int i = 0; i < 200; ++i) simulation.Put("target-" + std::to_string(i));
    simulation.RunFor(seconds(5));
    simulation.SetReach(8, {.store = false, .peers = false});
    simulation.RunFor(seconds(12));
    simulation.Remove("target-150");
    simulation.RunFor(seconds(2));
    simulation.DropHistory();
    simulation.SetReach(8, {});
    simulation.RunFor(milliseconds(1500));
    EXPECT_EQ(simulation.WriteAt(8, "target-150"), 0U) << "seed " << seed;
  }
}

/// Draws writes, removals and faults for some seconds.
class RandomSchedule {
 public:
  /// `restores`: the store also comes back from older copies of itself, and refuses calls at once.
  explicit RandomSchedule(std::uint64_t seed, bool restores = false)
      : random_(seed),
        steps_(restores ? 12 : 9),
        simulation_({.vm_count = 4 + seed % 9, .seed = seed}) {}

  auto Run() -> void {
    constexpr int kSteps = 60;
    for (int i = 0; i < kSteps; ++i) {
      Step();
      simulation_.RunFor(milliseconds(Draw(300)));
    }
    for (std::size_t vm = 0; vm < simulation_.vm_count(); ++vm) simulation_.SetReach(vm, {});
    // A call that got no answer times out, the next one follows a pause, and a listing may follow.
    simulation_.RunFor(seconds(9));
  }
  auto simulation() const -> const StoreSpreadSimulation& { return simulation_; }

 private:
  auto Draw(std::uint64_t limit) -> std::uint64_t { return random_() % limit; }

  auto Step() -> void {
    const auto vm = Draw(simulation_.vm_count());
    switch (Draw(steps_)) {
      case 0:
        simulation_.SetReach(vm, {.store = false, .peers = Draw(2) == 0});
        break;
      case 1:
        simulation_.SetReach(vm, {.frozen = true});
        break;
      case 2:
        simulation_.SetReach(vm, {});
        break;
      case 3:
        simulation_.Restart(vm);
        break;
      case 4:
        simulation_.DropHistory();
        break;
      case 5:
      case 6:
        simulation_.Remove(Item(Draw(30)));
        break;
      case 10:
        simulation_.SetReach(vm, {.refusal = StoreSpreadSimulation::Refusal::kBusy});
        break;
      case 11:
        simulation_.SetReach(vm, {.refusal = StoreSpreadSimulation::Refusal::kReset});
        break;
      case 9:
        simulation_.Restore(milliseconds(Draw(5000)));
        break;
      default:
        simulation_.Put(Item(Draw(30)));
    }
  }

  Random random_;
  const std::uint64_t steps_;
  StoreSpreadSimulation simulation_;
};

// Guards against an item that goes back to an older state, against a removed item that stays in use
// or returns, and against VMs that don't agree again once the faults are over.
TEST(StoreSpread, AllVmsAgreeWithTheStoreAfterFaults) {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    RandomSchedule schedule(seed);
    schedule.Run();
    const auto& simulation = schedule.simulation();
    ASSERT_EQ(simulation.reversals(), 0) << "seed " << seed;
    for (std::size_t vm = 0; vm < simulation.vm_count(); ++vm) {
      ASSERT_EQ(simulation.ItemsAt(vm), simulation.StoreItems()) << "seed " << seed << " vm " << vm;
    }
  }
}

// Guards against VMs that keep what the store has forgotten, or miss what it has written since,
// after it has come back from copies beside other faults.
TEST(StoreSpread, AllVmsAgreeWithARestoredStoreAfterFaults) {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    RandomSchedule schedule(seed, true);
    schedule.Run();
    const auto& simulation = schedule.simulation();
    for (std::size_t vm = 0; vm < simulation.vm_count(); ++vm) {
      ASSERT_EQ(simulation.ItemsAt(vm), simulation.StoreItems()) << "seed " << seed << " vm " << vm;
    }
  }
}

}  // namespace
}  // namespace heatherspan
