#include <gtest/gtest.h>

#include "gateway/entry_vm_directory.h"
#include "gateway/primary_region_selector.h"
#include "gateway/service_retry_budget.h"
#include "gateway/spillover_limiter.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

/// Two entry VMs per zone, named "a-0", "a-1", "b-0" and so on.
auto Vms(const std::vector<std::string>& zones) -> std::vector<EntryVm> {
  std::vector<EntryVm> vms;
  for (const auto& zone : zones) {
    for (int i = 0; i < 2; ++i) {
      vms.push_back({NodeName(zone + "-" + std::to_string(i)),
                     ZoneName(zone),
                     RegionName(zone.substr(0, 1)),
                     {"10.0.0.1", static_cast<std::uint16_t>(1000 + vms.size())}});
    }
  }
  return vms;
}

// Guards against the sum over all VMs exceeding the limit in any window, also across window
// boundaries.
TEST(ServiceRetryBudget, SumOverAllVmsStaysWithinLimit) {
  constexpr int kVms = 7;
  const ServiceRetryBudget::Limits limits{seconds(10), 0.2, 58};
  std::vector<ServiceRetryBudget> budgets(kVms, ServiceRetryBudget(limits));
  std::vector<MonotonicTime> retries;
  int requests = 0;
  for (int step = 0; step < 4000; ++step) {
    const auto now = kStart + step * milliseconds(10);
    auto& budget = budgets[step % kVms];
    if (step % 2 == 0) {
      budget.OnRequest(now);
      ++requests;
    }
    for (int i = 0; i < 3; ++i) {
      if (budget.TryAcquire(kVms, now)) retries.push_back(now);
    }
  }
  for (std::size_t i = 0; i < retries.size(); ++i) {
    std::size_t last = i;
    while (last + 1 < retries.size() && retries[last + 1] - retries[i] < limits.window) ++last;
    EXPECT_LE(static_cast<double>(last - i + 1), 0.2 * 500 + 58);
  }
  EXPECT_GT(retries.size(), 200U);
  EXPECT_GT(requests, 0);
}

// Guards against spillover that oscillates between nothing and all.
TEST(SpilloverLimiter, SpilledShareGrowsByBoundedSteps) {
  SpilloverLimiter limiter({seconds(2), 0.15});
  double before = 0;
  for (int window = 0; window < 6; ++window) {
    int spilled = 0;
    for (int i = 0; i < 100; ++i) {
      const auto now = kStart + window * seconds(2) + i * milliseconds(20);
      // The first window sends no request away, as the baseline for the next one.
      const bool spills = window > 0 && limiter.MaySpill(now);
      limiter.OnSent(spills, now);
      spilled += spills ? 1 : 0;
    }
    EXPECT_LE(spilled / 100.0, before + 0.15) << window;
    EXPECT_GE(spilled, window > 0 ? 1 : 0);
    before = spilled / 100.0;
  }
}

// Guards against a node that has just started and may not send any request to another region.
TEST(SpilloverLimiter, FirstWindowAllowsSpillover) {
  SpilloverLimiter limiter({seconds(2), 0.15});
  EXPECT_TRUE(limiter.MaySpill(kStart));
}

class PrimaryRegionSelectorTest : public testing::Test {
 protected:
  auto LocalFraction(PrimaryRegionSelector& selector, const std::vector<RegionCapacity>& capacities,
                     MonotonicTime now) -> double {
    int local = 0;
    for (ObjectHash object = 1; object <= 2000; ++object) {
      const auto hash = object * 0x9e3779b97f4a7c15ULL;
      if (selector.PrimaryRegionOf(service_, hash, capacities, now) == RegionName("small")) ++local;
    }
    return local / 2000.0;
  }

  const ServiceName service_{"s"};
  const std::vector<RegionCapacity> capacities_ = {
      {RegionName("large"), 90}, {RegionName("middle"), 66}, {RegionName("small"), 24}};
};

// Guards against a small region that keeps all its objects although it has as many callers as the
// larger regions.
TEST_F(PrimaryRegionSelectorTest, LocalFractionFollowsCapacity) {
  PrimaryRegionSelector selector{RegionName("small")};
  EXPECT_NEAR(LocalFraction(selector, capacities_, kStart), 0.4, 0.05);
  PrimaryRegionSelector large{RegionName("large")};
  EXPECT_EQ(large.PrimaryRegionOf(service_, 5, capacities_, kStart), RegionName("large"));
}

// Guards against VMs of the same region that disagree on an object's primary region.
TEST_F(PrimaryRegionSelectorTest, VmsOfSameRegionAgree) {
  PrimaryRegionSelector a{RegionName("small")};
  PrimaryRegionSelector b{RegionName("small")};
  for (ObjectHash object = 1; object <= 500; ++object) {
    EXPECT_EQ(a.PrimaryRegionOf(service_, object, capacities_, kStart),
              b.PrimaryRegionOf(service_, object, capacities_, kStart + seconds(object % 9)));
  }
}

// Guards against queues at all targets of a region while other regions have free capacity, and
// against an abrupt shift.
TEST_F(PrimaryRegionSelectorTest, QueuesMoveObjectsToOtherRegionsSlowly) {
  PrimaryRegionSelector selector{RegionName("small")};
  const double before = LocalFraction(selector, capacities_, kStart);
  for (int i = 0; i < 200; ++i) {
    const auto now = kStart + i * milliseconds(20);
    selector.OnReport(service_, RegionName("small"), {3, 6, 3}, now);
    selector.PrimaryRegionOf(service_, 1, capacities_, now);
  }
  const double after = LocalFraction(selector, capacities_, kStart + seconds(4));
  EXPECT_LT(after, before - 0.1);
  EXPECT_GT(after, before - 0.15 * 2);
}

// Load: a burst, then calm in which half of the slots are used. Guards against objects that stay in
// other regions, a round trip away, long after the burst.
TEST_F(PrimaryRegionSelectorTest, ObjectsReturnWhenTheirRegionHasRoom) {
  PrimaryRegionSelector selector{RegionName("large")};
  auto now = kStart;
  const auto play = [&](Duration duration, int running, int waiting) {
    for (const auto end = now + duration; now < end; now += milliseconds(20)) {
      selector.OnReport(service_, RegionName("large"), {running, waiting, 6}, now);
      selector.PrimaryRegionOf(service_, 1, capacities_, now);
    }
    return selector.LocalFraction(service_);
  };
  EXPECT_LT(play(seconds(8), 6, 6), 0.7);
  EXPECT_GT(play(seconds(20), 3, 0), 0.9);
}

// Guards against a region that keeps objects without usable targets, and against a missing result
// when no region has targets.
TEST_F(PrimaryRegionSelectorTest, RegionWithoutTargetsKeepsNoObjects) {
  PrimaryRegionSelector selector{RegionName("small")};
  EXPECT_EQ(selector.PrimaryRegionOf(service_, 5, {{RegionName("large"), 3}}, kStart),
            RegionName("large"));
  EXPECT_EQ(selector.PrimaryRegionOf(service_, 5, {}, kStart), RegionName("small"));
}

// Guards against more VMs sending to a cold target than it can handle, and against none.
TEST(ColdTargetSenders, SenderCountMatchesRequestRate) {
  const auto vms = Vms({"aa", "ab", "ba", "bb"});
  for (int target = 0; target < 50; ++target) {
    const TargetName name("t" + std::to_string(target));
    int senders = 0;
    for (const auto& vm : vms) {
      if (IsTargetSender(vms, vm.name, name, ZoneName("ab"), 2)) {
        ++senders;
        EXPECT_EQ(vm.zone, ZoneName("ab"));
      }
    }
    EXPECT_EQ(senders, 2);
  }
  EXPECT_FALSE(IsTargetSender(vms, NodeName("stranger"), TargetName("t"), ZoneName("ab"), 8));
}

class EntryVmDirectoryTest : public testing::Test {
 protected:
  EntryVmDirectoryTest() {
    for (const auto& vm : Vms({"aa", "ab", "ba"})) directory_.Announce(vm, kStart);
  }
  auto Count(const std::string& zone, MonotonicTime now = kStart) -> std::size_t {
    return directory_.Answer(ZoneName(zone), RegionName(zone.substr(0, 1)), {}, now)
        .endpoints.size();
  }

  EntryVmDirectory directory_{EntryVmDirectory::Options{}};
};

// Guards against callers that are sent to another zone, and against a caller with a single address.
TEST_F(EntryVmDirectoryTest, ReturnsNearestEntryVms) {
  EXPECT_EQ(Count("aa"), 2U);
  directory_.Withdraw(NodeName("aa-0"), false, kStart);
  EXPECT_EQ(Count("aa"), 3U);
  EXPECT_EQ(Count("az"), 3U);
  EXPECT_EQ(Count("zz"), 5U);
}

// Guards against requests sent to regions that their routes don't allow.
TEST_F(EntryVmDirectoryTest, ReturnsOnlyAllowedRegions) {
  const auto answer = directory_.Answer(ZoneName("zz"), RegionName("z"), {RegionName("b")}, kStart);
  EXPECT_EQ(answer.endpoints.size(), 2U);
}

// Guards against all entry VMs disappearing from the answers when the store loses the
// announcements, and against lost VMs that stay listed indefinitely.
TEST_F(EntryVmDirectoryTest, UnconfirmedWithdrawalsTakeEffectAfterGracePeriod) {
  for (const auto& vm : Vms({"aa", "ab", "ba"})) directory_.Withdraw(vm.name, true, kStart);
  EXPECT_EQ(Count("aa", kStart + seconds(2)), 2U);
  EXPECT_EQ(Count("aa", kStart + seconds(3)), 0U);
  EXPECT_EQ(directory_.RecentMaxCount(kStart + seconds(3)), 6);
  EXPECT_EQ(directory_.RecentMaxCount(kStart + seconds(60)), 1);
}

}  // namespace
}  // namespace heatherspan
