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

INSTANTIATE_TEST_SUITE_P(Vms, TargetNoticesTest, testing::Values(7, 34, 119),
                         [](const auto& test) { return std::to_string(test.param) + "Vms"; });

}  // namespace
}  // namespace heatherspan
