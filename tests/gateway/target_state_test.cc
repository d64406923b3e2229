#include <gtest/gtest.h>

#include "gateway/fleet.h"
#include "gateway/lapse_list.h"
#include "gateway/object_memory.h"
#include "gateway/target_health.h"
#include "gateway/target_load.h"
#include "gateway/work_estimates.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

// Guards against a memory that grows with the number of objects.
TEST(ObjectMemory, ForgetsTheOldest) {
  ObjectMemory memory;
  for (ObjectHash object = 1; object <= ObjectMemory::kMaxObjects + 1; ++object) {
    memory.OnHandled(object);
  }
  EXPECT_EQ(memory.Find(1), ObjectMemory::Knowledge::kUnknown);
  EXPECT_EQ(memory.Find(2), ObjectMemory::Knowledge::kHandled);
  memory.OnSent(2);
  EXPECT_EQ(memory.Find(2), ObjectMemory::Knowledge::kHandled);
  memory.OnSent(1000);
  EXPECT_EQ(memory.Find(1000), ObjectMemory::Knowledge::kSent);
}

// Guards against callers who pay a connect timeout each for a target that is gone.
TEST(TargetHealth, OneFailedConnectionBlocksAtOnceAndLonger) {
  TargetHealth health;
  health.OnSign(TargetSign::kUnreachable, kStart);
  EXPECT_TRUE(health.IsBlocked(kStart + milliseconds(499)));
  EXPECT_FALSE(health.IsBlocked(kStart + milliseconds(500)));
  EXPECT_TRUE(health.OnProbation());
  health.OnSign(TargetSign::kUnreachable, kStart + seconds(1));
  EXPECT_TRUE(health.IsBlocked(kStart + milliseconds(1999)));
  for (int i = 0; i < 10; ++i) health.OnSign(TargetSign::kUnreachable, kStart + seconds(10 * i));
  EXPECT_FALSE(health.IsBlocked(kStart + seconds(94)));
}

// Guards against a target that is left out for one failure, and one that fails on unnoticed.
TEST(TargetHealth, FailuresInARowBlock) {
  TargetHealth health;
  health.OnSign(TargetSign::kFailed, kStart);
  health.OnSign(TargetSign::kServed, kStart);
  health.OnSign(TargetSign::kFailed, kStart);
  health.OnSign(TargetSign::kFailed, kStart);
  EXPECT_FALSE(health.IsBlocked(kStart));
  health.OnSign(TargetSign::kFailed, kStart);
  EXPECT_TRUE(health.IsBlocked(kStart));
  // On probation, one is enough.
  health.OnSign(TargetSign::kFailed, kStart + seconds(2));
  EXPECT_TRUE(health.IsBlocked(kStart + seconds(3)));
  health.OnSign(TargetSign::kServed, kStart + seconds(8));
  EXPECT_FALSE(health.OnProbation());
}

// Guards against a grey target that keeps its full share: its rate must show, and fade.
TEST(TargetHealth, RateOfFailuresShowsAndFades) {
  TargetHealth health;
  for (int i = 0; i < 20; ++i) {
    health.OnSign(i % 2 == 0 ? TargetSign::kServed : TargetSign::kFailed, kStart);
  }
  EXPECT_GT(health.FailureRate(kStart), 0.3);
  EXPECT_LT(health.FailureRate(kStart + seconds(20)), 0.05);
}

// Guards against a new start of a target that is judged by what the old one did.
TEST(Fleet, ANewStartForgets) {
  Fleet fleet({{ZoneName("a"), RegionName("r")}}, seconds(2));
  RegisteredTarget entry{TargetName("t"), ServiceName("s"), ZoneName("a"), {"10.0.0.1", 1}, 3};
  entry.start_id = 1;
  fleet.Register(entry, kStart);
  auto* target = fleet.Find(TargetName("t"));
  target->Begin(1, seconds(1), seconds(1), 7, kStart);
  target->End(1, 7, TargetSign::kServed, kStart);
  target->health().OnSign(TargetSign::kUnreachable, kStart);
  entry.start_id = 2;
  entry.cold_left = seconds(3);
  fleet.Register(entry, kStart);
  EXPECT_FALSE(target->health().IsBlocked(kStart));
  EXPECT_EQ(target->objects().Find(7), ObjectMemory::Knowledge::kUnknown);
  EXPECT_TRUE(target->IsCold(kStart + seconds(2)));
  EXPECT_FALSE(target->IsCold(kStart + seconds(3)));
}

// Guards against requests to a zone that operators have emptied, and against a rush on its targets,
// which may have become cold meanwhile, when it is taken back.
TEST(Fleet, EvacuatedZonesGetNothingAndComeBackCold) {
  Fleet fleet({{ZoneName("a"), RegionName("r")}, {ZoneName("b"), RegionName("r")}}, seconds(2));
  fleet.Register({TargetName("t"), ServiceName("s"), ZoneName("a"), {"10.0.0.1", 1}, 3}, kStart);
  fleet.Register({TargetName("u"), ServiceName("s"), ZoneName("b"), {"10.0.0.2", 1}, 3}, kStart);
  fleet.SetEvacuated(ZoneName("a"), true, kStart);
  EXPECT_FALSE(fleet.MayUse(*fleet.Find(TargetName("t"))));
  EXPECT_TRUE(fleet.MayUse(*fleet.Find(TargetName("u"))));
  fleet.SetEvacuated(ZoneName("a"), false, kStart + seconds(5));
  EXPECT_TRUE(fleet.MayUse(*fleet.Find(TargetName("t"))));
  EXPECT_TRUE(fleet.Find(TargetName("t"))->IsCold(kStart + seconds(6)));
  EXPECT_FALSE(fleet.Find(TargetName("t"))->IsCold(kStart + seconds(7)));
}

// Guards against an entry that moves to another service or is removed and stays in the old list.
TEST(Fleet, ListsFollowTheRegistry) {
  Fleet fleet({{ZoneName("a"), RegionName("r")}}, seconds(2));
  RegisteredTarget entry{TargetName("t"), ServiceName("s"), ZoneName("a"), {"10.0.0.1", 1}, 3};
  fleet.Register(entry, kStart);
  entry.service = ServiceName("u");
  fleet.Register(entry, kStart);
  EXPECT_TRUE(fleet.TargetsOf(ServiceName("s")).empty());
  ASSERT_EQ(fleet.TargetsOf(ServiceName("u")).size(), 1U);
  entry.draining = true;
  fleet.Register(entry, kStart);
  EXPECT_FALSE(fleet.MayUse(*fleet.Find(TargetName("t"))));
  fleet.Unregister(TargetName("t"));
  EXPECT_TRUE(fleet.TargetsOf(ServiceName("u")).empty());
  EXPECT_EQ(fleet.size(), 0U);
}

// Guards against a full target that looks idle.
TEST(TargetLoad, WaitGrowsWithTheQueue) {
  TargetLoad load(3);
  EXPECT_EQ(load.Wait(kStart), Duration::zero());
  for (AttemptNumber i = 1; i <= 3; ++i) load.Begin(i, seconds(2), milliseconds(900), kStart);
  const auto full = load.Wait(kStart);
  EXPECT_GT(full, milliseconds(500));
  for (AttemptNumber i = 4; i <= 6; ++i) load.Begin(i, seconds(2), milliseconds(900), kStart);
  EXPECT_GT(load.Wait(kStart), full + milliseconds(500));
  EXPECT_EQ(load.End(1, kStart + milliseconds(30)), milliseconds(30));
  EXPECT_EQ(load.End(99, kStart), Duration::zero());
}

// Guards against others' load that is ignored, and against a report that is believed forever.
TEST(TargetLoad, ReportsOfOthersCountAndFade) {
  TargetLoad load(3);
  load.Begin(1, seconds(2), milliseconds(300), kStart);
  load.OnReport({3, 4, 3}, kStart);
  EXPECT_GT(load.Wait(kStart), milliseconds(300));
  EXPECT_EQ(load.Wait(kStart + seconds(5)), Duration::zero());
}

// Guards against a cold first request that makes its target look slow.
TEST(TargetLoad, OverdueCountsFromTheLongestTime) {
  TargetLoad load(3);
  load.Begin(1, seconds(1), milliseconds(300), kStart);
  EXPECT_DOUBLE_EQ(load.Overdue(kStart + milliseconds(900)), 1);
  EXPECT_DOUBLE_EQ(load.Overdue(kStart + seconds(4)), 4);
}

// Guards against estimates that a few slow answers move far.
TEST(WorkEstimates, FollowTheMedian) {
  WorkEstimates estimates;
  Route route;
  route.name = RouteName("r");
  route.objective = milliseconds(600);
  const ServiceName service("s");
  EXPECT_GT(estimates.Estimate(route, service).cold, estimates.Estimate(route, service).warm);
  for (int i = 0; i < 40; ++i) {
    estimates.Learn(route, service, true, i % 10 == 0 ? seconds(5) : milliseconds(260));
    estimates.Learn(route, service, false, milliseconds(880));
  }
  EXPECT_LT(estimates.Estimate(route, service).warm, milliseconds(320));
  EXPECT_EQ(estimates.Estimate(route, service).cold, milliseconds(880));
}

// Guards against live targets that are dropped because their registration lapsed in an outage, and
// against dead ones that are kept.
TEST(LapseList, KeepsTargetsForTheTimeOfTheirReturn) {
  LapseList lapses;
  lapses.Add(TargetName("back"), kStart);
  lapses.Add(TargetName("gone"), kStart);
  lapses.Remove(TargetName("back"));
  EXPECT_TRUE(lapses.TakeExpired(kStart + milliseconds(1999)).empty());
  EXPECT_EQ(lapses.TakeExpired(kStart + seconds(2)), std::vector<TargetName>{TargetName("gone")});
  EXPECT_TRUE(lapses.TakeExpired(kStart + seconds(9)).empty());
}

}  // namespace
}  // namespace heatherspan
