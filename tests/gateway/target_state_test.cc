#include <gtest/gtest.h>

#include "gateway/cached_objects.h"
#include "gateway/fleet.h"
#include "gateway/pending_removals.h"
#include "gateway/processing_time_estimates.h"
#include "gateway/target_health.h"
#include "gateway/target_load.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

// Guards against a list that grows with the number of objects.
TEST(CachedObjects, EvictsLeastRecentlyUsed) {
  CachedObjects objects;
  for (ObjectHash object = 1; object <= CachedObjects::kMaxObjects + 1; ++object) {
    objects.OnHandled(object);
  }
  EXPECT_EQ(objects.Find(1), CachedObjects::State::kUnknown);
  EXPECT_EQ(objects.Find(2), CachedObjects::State::kHandled);
  objects.OnSent(2);
  EXPECT_EQ(objects.Find(2), CachedObjects::State::kHandled);
  objects.OnSent(1000);
  EXPECT_EQ(objects.Find(1000), CachedObjects::State::kSent);
}

// Guards against a connect timeout for each caller when a target is lost.
TEST(TargetHealth, FailedConnectionBlocksAtOnceAndRepeatedFailuresBlockLonger) {
  TargetHealth health;
  health.OnObservation(TargetObservation::kUnreachable, kStart);
  EXPECT_TRUE(health.IsBlocked(kStart + milliseconds(499)));
  EXPECT_FALSE(health.IsBlocked(kStart + milliseconds(500)));
  EXPECT_TRUE(health.OnProbation());
  health.OnObservation(TargetObservation::kUnreachable, kStart + seconds(1));
  EXPECT_TRUE(health.IsBlocked(kStart + milliseconds(1999)));
  for (int i = 0; i < 10; ++i) {
    health.OnObservation(TargetObservation::kUnreachable, kStart + seconds(10 * i));
  }
  EXPECT_FALSE(health.IsBlocked(kStart + seconds(94)));
}

// Guards against a target that is blocked after one failure, and against repeated failures that go
// unnoticed.
TEST(TargetHealth, ConsecutiveFailuresBlock) {
  TargetHealth health;
  health.OnObservation(TargetObservation::kFailed, kStart);
  health.OnObservation(TargetObservation::kServed, kStart);
  health.OnObservation(TargetObservation::kFailed, kStart);
  health.OnObservation(TargetObservation::kFailed, kStart);
  EXPECT_FALSE(health.IsBlocked(kStart));
  health.OnObservation(TargetObservation::kFailed, kStart);
  EXPECT_TRUE(health.IsBlocked(kStart));
  // On probation, one failure is enough.
  health.OnObservation(TargetObservation::kFailed, kStart + seconds(2));
  EXPECT_TRUE(health.IsBlocked(kStart + seconds(3)));
  health.OnObservation(TargetObservation::kServed, kStart + seconds(8));
  EXPECT_FALSE(health.OnProbation());
}

// Guards against a partially failing target that keeps its full traffic. The failure rate must rise
// and decay.
TEST(TargetHealth, FailureRateRisesAndDecays) {
  TargetHealth health;
  for (int i = 0; i < 20; ++i) {
    health.OnObservation(i % 2 == 0 ? TargetObservation::kServed : TargetObservation::kFailed,
                         kStart);
  }
  EXPECT_GT(health.FailureRate(kStart), 0.3);
  EXPECT_LT(health.FailureRate(kStart + seconds(20)), 0.05);
}

// Guards against a restarted target that is rated by the state of its previous run.
TEST(Fleet, NewStartResetsState) {
  Fleet fleet({{ZoneName("a"), RegionName("r")}}, seconds(2));
  RegisteredTarget entry{TargetName("t"), ServiceName("s"), ZoneName("a"), {"10.0.0.1", 1}, 3};
  entry.start_id = 1;
  fleet.Register(entry, kStart);
  auto* target = fleet.Find(TargetName("t"));
  target->Begin(1, seconds(1), seconds(1), 7, kStart);
  target->End(1, 7, TargetObservation::kServed, kStart);
  target->health().OnObservation(TargetObservation::kUnreachable, kStart);
  entry.start_id = 2;
  entry.cold_left = seconds(3);
  fleet.Register(entry, kStart);
  EXPECT_FALSE(target->health().IsBlocked(kStart));
  EXPECT_EQ(target->cached_objects().Find(7), CachedObjects::State::kUnknown);
  EXPECT_TRUE(target->IsCold(kStart + seconds(2)));
  EXPECT_FALSE(target->IsCold(kStart + seconds(3)));
}

// Guards against requests to an evacuated zone, and against a burst of requests to its targets when
// the evacuation ends, as they may have become cold meanwhile.
TEST(Fleet, EvacuatedZoneIsUnusedAndColdAfterwards) {
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

// Guards against a target that stays in the old list after it moves to another service or is
// removed.
TEST(Fleet, ServiceListsFollowRegistrations) {
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
TEST(TargetLoad, QueueWaitGrowsWithQueue) {
  TargetLoad load(3);
  EXPECT_EQ(load.QueueWait(kStart), Duration::zero());
  for (AttemptNumber i = 1; i <= 3; ++i) load.Begin(i, seconds(2), milliseconds(900), kStart);
  const auto full = load.QueueWait(kStart);
  EXPECT_GT(full, milliseconds(500));
  for (AttemptNumber i = 4; i <= 6; ++i) load.Begin(i, seconds(2), milliseconds(900), kStart);
  EXPECT_GT(load.QueueWait(kStart), full + milliseconds(500));
  EXPECT_EQ(load.End(1, kStart + milliseconds(30)), milliseconds(30));
  EXPECT_EQ(load.End(99, kStart), Duration::zero());
}

// Guards against other nodes' load being ignored, and against a report that stays valid forever.
TEST(TargetLoad, ReportedLoadCountsAndDecays) {
  TargetLoad load(3);
  load.Begin(1, seconds(2), milliseconds(300), kStart);
  load.OnReport({3, 4, 3}, kStart);
  EXPECT_GT(load.QueueWait(kStart), milliseconds(300));
  EXPECT_EQ(load.QueueWait(kStart + seconds(5)), Duration::zero());
}

// Guards against a first request for an uncached object that makes its target look slow.
TEST(TargetLoad, OverdueRatioIsRelativeToMaxDuration) {
  TargetLoad load(3);
  load.Begin(1, seconds(1), milliseconds(300), kStart);
  EXPECT_DOUBLE_EQ(load.OverdueRatio(kStart + milliseconds(900)), 1);
  EXPECT_DOUBLE_EQ(load.OverdueRatio(kStart + seconds(4)), 4);
}

// Guards against estimates that a few slow responses change too much.
TEST(ProcessingTimeEstimates, EstimateFollowsMedian) {
  ProcessingTimeEstimates estimates;
  Route route;
  route.name = RouteName("r");
  route.objective = milliseconds(600);
  const ServiceName service("s");
  EXPECT_GT(estimates.Estimate(route, service).uncached, estimates.Estimate(route, service).cached);
  for (int i = 0; i < 40; ++i) {
    estimates.Learn(route, service, true, i % 10 == 0 ? seconds(5) : milliseconds(260));
    estimates.Learn(route, service, false, milliseconds(880));
  }
  EXPECT_LT(estimates.Estimate(route, service).cached, milliseconds(320));
  EXPECT_EQ(estimates.Estimate(route, service).uncached, milliseconds(880));
}

// Guards against the removal of running targets whose registrations expired in an outage, and
// against keeping targets that were lost.
TEST(PendingRemovals, KeepsTargetsUntilReregistrationTimeEnds) {
  const std::vector<TargetName> gone = {TargetName("gone")};
  PendingRemovals<TargetName> removals;
  removals.Add(TargetName("back"), kStart);
  removals.Add(TargetName("gone"), kStart);
  removals.Remove(TargetName("back"));
  EXPECT_TRUE(removals.Take(std::nullopt, kStart + milliseconds(4999)).empty());
  EXPECT_TRUE(removals.Take(kStart - milliseconds(1), kStart + milliseconds(4999)).empty());
  EXPECT_EQ(removals.Take(kStart + milliseconds(1), kStart + milliseconds(1)), gone);
  EXPECT_TRUE(removals.Take(kStart + seconds(9), kStart + seconds(9)).empty());
  // A node that hears nothing of the store does not keep the target for good.
  removals.Add(TargetName("gone"), kStart);
  EXPECT_EQ(removals.Take(std::nullopt, kStart + seconds(5)), gone);
  EXPECT_FALSE(removals.Contains(TargetName("gone")));
}

}  // namespace
}  // namespace heatherspan
