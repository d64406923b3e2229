#include "admission/target_pool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using State = TargetReport::State;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr TargetResult kAnswered{TargetOutcome::kAnswered, milliseconds(20)};
constexpr TargetResult kTimedOut{TargetOutcome::kTimeout, {}};
constexpr auto kServiceName = "dispatch";

auto ServiceWithTargets(int targets) -> std::vector<OwnedTargets> {
  OwnedTargets service{ServiceName(kServiceName), 3, {}};
  for (int i = 1; i <= targets; ++i) {
    service.targets.push_back({TargetName("t" + std::to_string(i)), ZoneName("a"), {}});
  }
  return {service};
}

class TargetPoolTest : public testing::Test {
 protected:
  /// Acquires a slot; the test fails when none is available.
  auto AcquireSlot() -> TargetSlot {
    auto acquired = pool_.Acquire(service_, now_, random_);
    EXPECT_TRUE(std::holds_alternative<TargetSlot>(acquired));
    return std::get<TargetSlot>(acquired);
  }
  /// The reason why no slot is available; kNone when a slot is available.
  auto AcquireRefusal() -> Reason {
    const auto acquired = pool_.Acquire(service_, now_, random_);
    if (std::holds_alternative<Reason>(acquired)) return std::get<Reason>(acquired);
    pool_.Release(std::get<TargetSlot>(acquired), {TargetOutcome::kCancelled, {}}, now_);
    return Reason::kNone;
  }
  auto Release(const TargetSlot& slot, const TargetResult& result) -> void {
    pool_.Release(slot, result, now_);
  }
  /// Configures the targets and completes the slow start of all of them.
  auto ConfigureWarm(int targets) -> void {
    pool_.Configure(ServiceWithTargets(targets));
    std::vector<TargetSlot> slots;
    slots.reserve(targets);
    for (int i = 0; i < targets; ++i) slots.push_back(AcquireSlot());
    now_ += seconds(10);
    for (const auto& slot : slots) Release(slot, kAnswered);
  }
  /// Sends `requests` requests, of which those to targets for which `fails` is true time out.
  /// Returns the number of requests sent to each target.
  template <class Fails>
  auto RunRequests(int requests, Fails fails) -> std::map<std::string, int> {
    std::map<std::string, int> sent;
    for (int i = 0; i < requests; ++i) {
      const auto slot = AcquireSlot();
      ++sent[slot.target->name.value()];
      now_ += milliseconds(1);
      Release(slot, fails(slot.target->name.value()) ? kTimedOut : kAnswered);
    }
    return sent;
  }

  const ServiceName service_{kServiceName};
  static constexpr std::uint64_t kSeed = 11;
  testing::ScopedTrace trace_{__FILE__, __LINE__, "seed 11"};
  Random random_{kSeed};
  TargetPool pool_;
  MonotonicTime now_ = kStart;
};

// Guards against exceeding the slots of a target, and against using all slots of a cold target at
// once.
TEST_F(TargetPoolTest, SlowStartAllowsOneThenTwoThenThreeSlots) {
  pool_.Configure(ServiceWithTargets(1));
  const auto first = AcquireSlot();
  EXPECT_EQ(AcquireRefusal(), Reason::kTargetBusy);
  now_ += milliseconds(500);
  AcquireSlot();
  EXPECT_EQ(AcquireRefusal(), Reason::kTargetBusy);
  now_ += milliseconds(500);
  AcquireSlot();
  now_ += seconds(100);
  EXPECT_EQ(AcquireRefusal(), Reason::kTargetBusy);
  EXPECT_EQ(pool_.Load(service_, now_).used_slots, 3U);
  Release(first, kAnswered);
  Release(first, kAnswered);  // A second release must not free another slot.
  EXPECT_EQ(pool_.InFlight(), 2);
}

// Guards against full load on a target that stays cold because it has had no requests since it was
// configured.
TEST_F(TargetPoolTest, SlowStartBeginsWithTheFirstRequest) {
  pool_.Configure(ServiceWithTargets(1));
  now_ += seconds(100);
  AcquireSlot();
  EXPECT_EQ(AcquireRefusal(), Reason::kTargetBusy);
}

// Guards against a target that loses two thirds of its slots because each of its reports says
// "cold".
TEST_F(TargetPoolTest, RepeatedColdReportsStartOnlyOneRamp) {
  ConfigureWarm(1);
  pool_.OnReport({TargetName("t1"), 3, 0, State::kCold}, now_);
  EXPECT_EQ(pool_.Load(service_, now_).usable_slots, 1U);
  Release(AcquireSlot(), kAnswered);
  for (int i = 0; i < 7; ++i) {
    now_ += seconds(1);
    pool_.OnReport({TargetName("t1"), 3, 0, State::kCold}, now_);
  }
  EXPECT_EQ(pool_.Load(service_, now_).usable_slots, 3U);
}

// Guards against further requests to a failed target, and against full load on the target right
// after its ejection.
TEST_F(TargetPoolTest, EjectsAfterConsecutiveFailuresForGrowingDurations) {
  ConfigureWarm(4);
  const auto sent = RunRequests(200, [](const std::string& name) { return name == "t1"; });
  EXPECT_EQ(sent.at("t1"), 3);
  now_ += seconds(5);  // The first ejection has ended; one failure ejects again, for 10 s.
  EXPECT_EQ(RunRequests(200, [](const std::string& name) { return name == "t1"; }).at("t1"), 1);
  now_ += seconds(5);
  EXPECT_EQ(RunRequests(200, [](const std::string&) { return false; }).count("t1"), 0U);
  now_ += seconds(5);
  EXPECT_GT(RunRequests(200, [](const std::string&) { return false; }).at("t1"), 10);
}

// Guards against ejecting all targets when the failures have another cause, for example the network
// of this node. Also guards against failing targets that attract requests because their slots are
// always free.
TEST_F(TargetPoolTest, EjectsAtMostHalfOfThePoolAndPausesOtherFailingTargets) {
  ConfigureWarm(5);
  std::map<std::string, int> sent;
  for (const auto end = now_ + seconds(4); now_ < end; now_ += milliseconds(10)) {
    const auto acquired = pool_.Acquire(service_, now_, random_);
    const auto* slot = std::get_if<TargetSlot>(&acquired);
    if (slot == nullptr) continue;
    ++sent[slot->target->name.value()];
    Release(*slot, kTimedOut);
  }
  EXPECT_EQ(std::count_if(sent.begin(), sent.end(), [](const auto& t) { return t.second == 3; }),
            2);  // Ejected.
  EXPECT_EQ(std::count_if(sent.begin(), sent.end(),
                          [](const auto& t) { return t.second > 5 && t.second < 9; }),
            3);  // Further attempts after pauses of 250, 500, 1000, 2000 ms.
  EXPECT_EQ(pool_.Load(service_, now_).usable_slots, 0U);
}

// Guards against failing targets that are never used again when they get no live requests.
TEST_F(TargetPoolTest, AHealthyProbeMakesAFailingTargetUsable) {
  ConfigureWarm(1);
  RunRequests(3, [](const std::string&) { return true; });
  EXPECT_EQ(pool_.Load(service_, now_).usable_slots, 0U);
  now_ += seconds(5);
  pool_.OnProbe(TargetName("t1"), true, now_);
  EXPECT_EQ(pool_.Load(service_, now_).usable_slots, 1U);
  EXPECT_EQ(AcquireRefusal(), Reason::kNone);
}

// Guards against new requests to a draining target, whether the drain is ordered, reported or
// answered by the target.
TEST_F(TargetPoolTest, DrainingTargetsGetNoNewRequests) {
  ConfigureWarm(4);
  const auto in_flight = AcquireSlot();
  pool_.SetDraining(in_flight.target->name, true);
  EXPECT_EQ(pool_.InFlight(), 1);  // Requests in flight continue.
  Release(in_flight, kAnswered);
  const auto answers_draining = AcquireSlot();
  Release(answers_draining, {TargetOutcome::kDraining, {}});
  const auto reports_draining = AcquireSlot();
  pool_.OnReport({reports_draining.target->name, 3, 0, State::kDraining}, now_);
  Release(reports_draining, kAnswered);
  now_ += seconds(30);  // An outdated report does not make a draining target usable again.
  EXPECT_EQ(RunRequests(50, [](const std::string&) { return false; }).size(), 1U);
  const auto last = AcquireSlot();
  pool_.SetDraining(last.target->name, true);
  Release(last, kAnswered);
  EXPECT_EQ(AcquireRefusal(), Reason::kDrained);
}

// Guards against a late "ready" report that overrides the target's own "draining" answer.
TEST_F(TargetPoolTest, AReadyReportEndsADrainingAnswerOnlyAfterTheHold) {
  ConfigureWarm(1);
  Release(AcquireSlot(), {TargetOutcome::kDraining, {}});
  pool_.OnReport({TargetName("t1"), 3, 0, State::kReady}, now_ + seconds(1));
  EXPECT_EQ(AcquireRefusal(), Reason::kDrained);
  now_ += seconds(11);
  pool_.OnReport({TargetName("t1"), 3, 0, State::kReady}, now_);
  EXPECT_EQ(AcquireRefusal(), Reason::kNone);
}

// Guards against an in-flight count that restarts at zero when a removed target is added again.
TEST_F(TargetPoolTest, KeepsInFlightCountsAcrossRemoval) {
  ConfigureWarm(1);
  const std::vector<TargetSlot> slots = {AcquireSlot(), AcquireSlot(), AcquireSlot()};
  pool_.Configure({});
  EXPECT_EQ(AcquireRefusal(), Reason::kNoTarget);
  EXPECT_EQ(pool_.InFlight(), 3);
  pool_.Configure(ServiceWithTargets(1));
  EXPECT_EQ(AcquireRefusal(), Reason::kTargetBusy);
  Release(slots[0], kAnswered);
  EXPECT_EQ(AcquireRefusal(), Reason::kNone);
  pool_.Configure({});
  Release(slots[1], kAnswered);
  Release(slots[2], kAnswered);
  EXPECT_EQ(pool_.InFlight(), 0);
}

// Guards against reports that override newer results of this node's own requests, and against the
// use of outdated reports.
TEST_F(TargetPoolTest, ReportsCountOnlyWhileFreshAndWithoutNewerLiveResults) {
  ConfigureWarm(2);
  const auto count_choices = [&] {
    std::map<std::string, int> chosen;
    for (int i = 0; i < 20; ++i) {
      const auto slot = AcquireSlot();
      ++chosen[slot.target->name.value()];
      Release(slot, {TargetOutcome::kCancelled, {}});
    }
    return chosen;
  };
  now_ += milliseconds(1);
  pool_.OnReport({TargetName("t1"), 3, 3, State::kReady}, now_);
  pool_.OnReport({TargetName("t2"), 3, 0, State::kReady}, now_);
  EXPECT_EQ(count_choices()["t2"], 20);
  now_ += seconds(5);
  EXPECT_GT(count_choices()["t1"], 0);
}

// Guards against repeated requests to a target that sheds each of them: the target is not ejected,
// but gets a pause that grows.
TEST_F(TargetPoolTest, PausesATargetThatSheds) {
  ConfigureWarm(1);
  for (const int pause : {10, 20, 40}) {
    Release(AcquireSlot(), {TargetOutcome::kShed, {}});
    now_ += milliseconds(pause) - Duration(1);
    EXPECT_EQ(AcquireRefusal(), Reason::kTargetBusy);
    now_ += Duration(1);
  }
  EXPECT_EQ(AcquireRefusal(), Reason::kNone);
}

// Guards against probes that take capacity from requests: each probe takes about 6 ms of the
// target's time.
TEST_F(TargetPoolTest, ProbesAtMostOncePerIntervalAndOnlyWithoutLiveTraffic) {
  ConfigureWarm(2);
  EXPECT_TRUE(pool_.ProbeCandidates(now_ + milliseconds(4999)).empty());
  now_ += seconds(4);
  const auto busy = AcquireSlot();
  Release(busy, kAnswered);
  now_ += seconds(1);
  const auto due = pool_.ProbeCandidates(now_);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_NE(due[0]->name, busy.target->name);
  EXPECT_TRUE(pool_.ProbeCandidates(now_).empty());
  now_ += seconds(5);
  EXPECT_EQ(pool_.ProbeCandidates(now_).size(), 2U);
}

// Guards against failed probes that override the results of live requests.
TEST_F(TargetPoolTest, FailedProbesCountOnlyWithoutLiveTraffic) {
  ConfigureWarm(2);
  for (int i = 0; i < 3; ++i) pool_.OnProbe(TargetName("t1"), false, now_);
  EXPECT_EQ(pool_.Load(service_, now_).usable_slots, 6U);
  now_ += seconds(6);
  for (int i = 0; i < 3; ++i) pool_.OnProbe(TargetName("t1"), false, now_);
  EXPECT_EQ(pool_.Load(service_, now_).usable_slots, 3U);
}

}  // namespace
}  // namespace heatherspan
