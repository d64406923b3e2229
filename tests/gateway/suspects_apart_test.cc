#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_core.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr auto kNow = kStart + seconds(30);
constexpr int kTargets = 12;
constexpr int kObjects = 100;

class SuspectsApartTest : public testing::Test {
 protected:
  static auto Start(int index) -> std::unique_ptr<GatewayCore> {
    GatewayCore::Options options;
    options.node = NodeName("vm-" + std::to_string(index));
    options.location = {.zone = ZoneName("z"), .region = RegionName("r")};
    options.zones = {{ZoneName("z"), RegionName("r")}};
    auto core = std::make_unique<GatewayCore>(options, index);
    TrafficPolicy policy;
    policy.version = ConfigVersion(1);
    policy.routes = {SomeRoute()};
    policy.services = {{ServiceName("s"), "/health", 1000, seconds(3), 3}};
    core->ApplyPolicy(policy);
    for (int i = 0; i < kTargets; ++i) {
      const auto name = "i-" + std::to_string(i);
      core->fleet().Register({TargetName(name), ServiceName("s"), ZoneName("z"), {name, 1}, 3},
                             kStart);
    }
    core->OnTick(kNow);
    return core;
  }

  static auto SomeRoute() -> Route {
    Route route;
    route.name = RouteName("read");
    route.host = "h";
    route.path_prefix = "/";
    route.retry_rule = RetryRule::kIdempotent;
    route.timeout = seconds(20);
    route.objective = seconds(10);
    route.max_attempts = 4;
    route.session_affinity = true;
    route.weighted_services = {{ServiceName("s"), 1}};
    return route;
  }

  /// Returns the target of a request of the object that is apart from others, by its own rank.
  static auto TargetOf(GatewayCore& core, int object, std::optional<ObjectHash> own_rank)
      -> std::string {
    auto request = core.Admit(RequestId("id"), SomeRoute(), std::to_string(object), std::nullopt,
                              kNow, Duration::zero());
    request.SetApartness(Apartness::kPreferred, own_rank);
    const auto result = core.Place(request, kNow);
    return result.placement.has_value() ? result.placement->target->entry().name.value() : "";
  }
};

// Guards against an innocent request that meets the same harmful one again, since both have lost a
// target and go on to the next one of their object, each from its own VM.
TEST_F(SuspectsApartTest, TwoOfOneObjectGoOnToDifferentTargets) {
  const auto one = Start(1);
  const auto other = Start(2);
  int together = 0;
  for (int object = 0; object < kObjects; ++object) {
    const auto rank = static_cast<ObjectHash>(object + 1) * 0x9e3779b97f4a7c15ULL;
    const auto target = TargetOf(*one, object, rank);
    ASSERT_NE(target, "");
    // What is told of one request at all VMs is of one set of targets.
    EXPECT_EQ(TargetOf(*other, object, rank), target);
    if (TargetOf(*other, object, ~rank) == target) ++together;
    EXPECT_EQ(TargetOf(*one, object, std::nullopt), TargetOf(*other, object, std::nullopt));
  }
  EXPECT_LT(together, kObjects / 4);
}

}  // namespace
}  // namespace heatherspan
