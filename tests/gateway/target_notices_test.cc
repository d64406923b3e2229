#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_core.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

/// Entry VMs whose callers want one service with some targets, in virtual time.
class TargetNoticesTest : public testing::TestWithParam<int> {
 protected:
  static constexpr int kTargets = 12;

  TargetNoticesTest() {
    for (int i = 0; i < GetParam(); ++i) {
      GatewayCore::Options options;
      options.node = NodeName("vm-" + std::to_string(i));
      options.location.zone = ZoneName("z");
      options.location.region = RegionName("r");
      options.zones = {{ZoneName("z"), RegionName("r")}};
      options.retries = {seconds(10), 0.2, 58};
      vms_.push_back(std::make_unique<GatewayCore>(options, i));
      vms_.back()->ApplyPolicy(Policy());
    }
  }

  static auto Policy() -> TrafficPolicy {
    TrafficPolicy policy;
    policy.version = ConfigVersion(1);
    Route route;
    route.name = RouteName("read");
    route.host = "h";
    route.path_prefix = "/";
    route.retry_rule = RetryRule::kIdempotent;
    route.timeout = seconds(20);
    route.objective = seconds(10);
    route.max_attempts = 2;
    route.session_affinity = true;
    route.weighted_services = {{ServiceName("s"), 1}};
    policy.routes = {route};
    policy.services = {{ServiceName("s"), "/health", 1000, seconds(3), 3}};
    return policy;
  }

  static auto Target(int number, std::int64_t start_id = 1) -> RegisteredTarget {
    const auto name = "i-" + std::to_string(number);
    return {TargetName(name), ServiceName("s"), ZoneName("z"), {name, 1}, 100, false, {}, start_id};
  }

  /// Places a request and ends its attempt at once. Returns the target's name, or an empty one.
  static auto Send(GatewayCore& core, const std::string& object, MonotonicTime now) -> TargetName {
    auto request =
        core.Admit(RequestId("id"), *core.routes().Find("h", "/x"), object, std::nullopt, now);
    const auto result = core.Place(request, now);
    if (!result.placement.has_value()) return TargetName();
    const auto attempt = core.BeginAttempt(request, *result.placement, now);
    core.EndAttempt(request, attempt, AttemptOutcome::kSucceeded, std::nullopt, now);
    return attempt.target;
  }

  std::vector<std::unique_ptr<GatewayCore>> vms_;
};

// Guards against requests to a target that has said in an answer that it leaves, because the store,
// which may be stale, restored or away, shows it as ready again.
TEST_P(TargetNoticesTest, LeavingIsFinalForOneStart) {
  Random random(GetParam());
  std::vector<std::set<TargetName>> leaving(vms_.size());
  for (const auto& core : vms_) {
    for (int i = 0; i < kTargets; ++i) core->fleet().Register(Target(i), kStart);
  }
  int requests = 0;
  auto now = kStart;
  for (int step = 0; step < 4000; ++step) {
    now += milliseconds(random() % 50);
    const auto vm = random() % vms_.size();
    auto& core = *vms_[vm];
    const auto target = Target(static_cast<int>(random() % (kTargets - 2)));
    switch (random() % 8) {
      case 0:
        if (core.fleet().OnLeaving(target.name, now)) leaving[vm].insert(target.name);
        break;
      case 1:
        core.fleet().Unregister(target.name);
        break;
      case 2:
        core.fleet().Register(target, now);
        break;
      default:
        const auto chosen = Send(core, std::to_string(random() % 40), now);
        ASSERT_FALSE(leaving[vm].contains(chosen)) << chosen.value() << " step " << step;
        requests += chosen == TargetName() ? 0 : 1;
    }
  }
  EXPECT_GT(requests, 2000);
}

// Guards against a new start of an instance, or another instance, that is taken for the one that
// left.
TEST_P(TargetNoticesTest, ANewStartIsInUse) {
  auto& core = *vms_.front();
  core.fleet().Register(Target(1), kStart);
  EXPECT_TRUE(core.fleet().OnLeaving(TargetName("i-1"), kStart));
  EXPECT_FALSE(core.fleet().OnLeaving(TargetName("i-1"), kStart));
  EXPECT_FALSE(core.fleet().OnLeaving(TargetName("i-2"), kStart));
  EXPECT_EQ(Send(core, "a", kStart), TargetName());
  core.fleet().Register(Target(1, 2), kStart + seconds(4));
  EXPECT_EQ(Send(core, "a", kStart + seconds(4)), TargetName("i-1"));
}

// Guards against requests to a target that has asked for a pause, from any VM that it has told, and
// against VMs that all return with all of their load in the same moment.
TEST_P(TargetNoticesTest, ATargetInAPauseGetsNothing) {
  constexpr auto kPause = seconds(4);
  for (const auto& core : vms_) {
    for (int i = 0; i < kTargets; ++i) core->fleet().Register(Target(i), kStart);
  }
  const TargetName paused("i-3");
  std::vector<MonotonicTime> told(vms_.size(), kStart - kPause);
  std::map<std::int64_t, int> returned;  // By tenth of a second.
  for (auto now = kStart; now < kStart + seconds(12); now += milliseconds(20)) {
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
      auto& core = *vms_[vm];
      const auto object = std::to_string((now - kStart) / milliseconds(20) % 50);
      if (Send(core, object, now) != paused) continue;
      ASSERT_GE(now - told[vm], kPause) << "VM " << vm;
      if (told[vm] >= kStart) ++returned[(now - kStart) / milliseconds(100)];
      // The target turns everything away in the first seconds.
      if (now < kStart + seconds(5)) {
        core.fleet().Find(paused)->pause().OnRequested(kPause, core.DrawSpread(), now);
        told[vm] = now;
      }
    }
  }
  EXPECT_FALSE(returned.empty());
}

// Guards against a request that waits although all targets have asked for a pause, and against
// callers that come back together.
TEST_P(TargetNoticesTest, RefusesAtOnceWhenAllTargetsPause) {
  auto& core = *vms_.front();
  for (int i = 0; i < 3; ++i) {
    core.fleet().Register(Target(i), kStart);
    core.fleet().Find(Target(i).name)->pause().OnRequested(seconds(2 + i), 0, kStart);
  }
  std::set<Duration> times;
  for (int i = 0; i < 20; ++i) {
    auto request =
        core.Admit(RequestId("id"), *core.routes().Find("h", "/x"), "", seconds(18), kStart);
    const auto result = core.Place(request, kStart);
    ASSERT_FALSE(result.placement.has_value());
    EXPECT_EQ(result.failure, PlacementFailure::kPaused);
    EXPECT_GE(result.retry_after, seconds(2));
    EXPECT_LE(result.retry_after, seconds(3));
    times.insert(result.retry_after);
  }
  EXPECT_GT(times.size(), 10U);
  EXPECT_EQ(Send(core, "", kStart + seconds(2)), TargetName("i-0"));
}

// Guards against a pause that is shortened, that never ends, or that is ended by what was under way
// when it began.
TEST(TargetPause, LastsAsLongAsTheTargetAsks) {
  TargetPause pause;
  EXPECT_EQ(pause.Wait(kStart), Duration::zero());
  EXPECT_TRUE(pause.OnRequested(seconds(4), 0, kStart));
  EXPECT_FALSE(pause.OnRequested(seconds(1), 1, kStart + seconds(1)));
  EXPECT_EQ(pause.Wait(kStart + seconds(1)), seconds(3));
  EXPECT_FALSE(pause.OnRequested(seconds(5), 0, kStart + seconds(1)));
  EXPECT_EQ(pause.Wait(kStart + seconds(1)), seconds(5));
  pause.OnServed(kStart + seconds(2));
  EXPECT_TRUE(pause.is_returning());
  EXPECT_EQ(pause.Wait(kStart + seconds(6)), Duration::zero());
  EXPECT_TRUE(pause.is_returning());
  pause.OnServed(kStart + seconds(7));
  EXPECT_FALSE(pause.is_returning());
  EXPECT_TRUE(pause.OnRequested(std::chrono::hours(9), 1, kStart + seconds(8)));
  EXPECT_EQ(pause.Wait(kStart + seconds(8)), TargetPause::kMaxPause + TargetPause::kMaxSpread);
}

INSTANTIATE_TEST_SUITE_P(Vms, TargetNoticesTest, testing::Values(7, 34, 119),
                         [](const auto& test) { return std::to_string(test.param) + "Vms"; });

}  // namespace
}  // namespace heatherspan
