#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_core.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr auto kWindow = seconds(10);
constexpr double kRatio = 0.2;
constexpr double kAllowance = 30;
constexpr int kVms = 3;
constexpr int kTargets = 8;

/// Entry VMs of which any may pass requests on, and targets that refuse every request.
class RetryBudgetTest : public testing::Test {
 protected:
  RetryBudgetTest() {
    for (int i = 0; i < kVms; ++i) vms_.push_back(Start(i, kStart - kWindow));
  }

  auto Start(int index, MonotonicTime at) -> std::unique_ptr<GatewayCore> {
    GatewayCore::Options options;
    options.node = NodeName("vm-" + std::to_string(index));
    options.location = {.zone = ZoneName("z"), .region = RegionName("r")};
    options.zones = {{ZoneName("z"), RegionName("r")}};
    options.retries = {kWindow, kRatio, kAllowance};
    auto core = std::make_unique<GatewayCore>(options, index);
    TrafficPolicy policy;
    policy.version = ConfigVersion(1);
    Route route;
    route.host = "h";
    route.path_prefix = "/";
    route.retry_rule = RetryRule::kIdempotent;
    route.timeout = seconds(20);
    route.objective = seconds(10);
    route.max_attempts = 4;
    route.weighted_services = {{ServiceName("s"), 1}};
    policy.routes = {route};
    policy.services = {{ServiceName("s"), "/health", 1000, seconds(3), 3}};
    core->ApplyPolicy(policy);
    for (int i = 0; i < kVms; ++i) {
      const auto name = "vm-" + std::to_string(i);
      core->entry_vms().Announce(
          {NodeName(name), ZoneName("z"), RegionName("r"), {name, 1}, {name, 2}}, at);
    }
    for (int i = 0; i < kTargets; ++i) {
      const auto name = "i-" + std::to_string(i);
      core->fleet().Register({TargetName(name), ServiceName("s"), ZoneName("z"), {name, 1}, 1000},
                             at);
    }
    Tick(*core, at);
    return core;
  }

  static auto Tick(GatewayCore& core, MonotonicTime now) -> void {
    core.OnAnnouncementRenewed(now);
    core.OnTick(now);
  }

  /// Sends the request to targets, each of which refuses it, as often as the VM may.
  auto SendWhileAllowed(GatewayCore& core, ForwardedRequest& request, MonotonicTime now) -> void {
    while (true) {
      const auto result = core.Place(request, now);
      if (!result.placement.has_value()) return;
      const auto attempt = core.BeginAttempt(request, *result.placement, now);
      ++arrivals_;
      const auto step =
          core.EndAttempt(request, attempt, AttemptOutcome::kRefused, std::nullopt, now);
      if (step != RequestStep::kPlace) return;
    }
  }

  /// A caller's request, which this VM tries once and passes on, and the next VM passes back in
  /// turn as one that it can't serve.
  auto PlayPassedOnRequest(int vm, MonotonicTime now) -> void {
    auto& first = *vms_[vm];
    const auto& route = *first.routes().Find("h", "/x");
    auto request = first.Admit(RequestId("id"), route, "", std::nullopt, now);
    ++requests_;
    SendWhileAllowed(first, request, now);
    for (int hop = 1; hop < kVms; ++hop) {
      auto& other = *vms_[(vm + hop) % kVms];
      const RelayTerms terms{route.retry_rule, request.verdict(), request.arrivals()};
      first.OnPassedOn(request);
      request.OnSent(TargetName(other.node().value()));
      auto passed_on = other.AdmitPassedOn(RequestId("id"), route, "", std::nullopt, terms, now);
      SendWhileAllowed(other, passed_on, now);
      request.OnRelayEnd(AttemptOutcome::kNotSent, passed_on.own_arrivals(), now);
    }
  }

  std::vector<std::unique_ptr<GatewayCore>> vms_;
  int requests_ = 0;
  int arrivals_ = 0;
};

// Load: targets that refuse everything, and entry VMs that pass requests on. Guards against VMs
// that each take a request for a first one of their own: its arrivals at targets then multiply by
// the VMs that it passes.
TEST_F(RetryBudgetTest, HoldsOverAllVmsThatARequestPasses) {
  for (auto now = kStart; now < kStart + kWindow; now += milliseconds(100)) {
    for (int vm = 0; vm < kVms; ++vm) {
      Tick(*vms_[vm], now);
      PlayPassedOnRequest(vm, now);
    }
  }
  EXPECT_LE(arrivals_ - requests_, kRatio * requests_ + kAllowance);
  EXPECT_GT(arrivals_ - requests_, kRatio * requests_ / 2);
}

// Guards against an entry VM that uses its part of the allowance, ends, and uses it again.
TEST_F(RetryBudgetTest, HoldsIfVmsStartAgain) {
  for (auto now = kStart; now < kStart + kWindow; now += milliseconds(100)) {
    const bool restarts = (now - kStart) % seconds(4) == Duration::zero() && now > kStart;
    for (int vm = 0; vm < kVms; ++vm) {
      if (restarts) vms_[vm] = Start(vm, now);
      auto& core = *vms_[vm];
      Tick(core, now);
      auto request =
          core.Admit(RequestId("id"), *core.routes().Find("h", "/x"), "", std::nullopt, now);
      ++requests_;
      SendWhileAllowed(core, request, now);
    }
  }
  EXPECT_LE(arrivals_ - requests_, kRatio * requests_ + kAllowance);
}

// A request that another VM has sent to a target in vain arrives there once more only if this VM
// has a retry left; one that has arrived nowhere needs none. Of a request whose VM states nothing,
// the former is assumed.
TEST_F(RetryBudgetTest, CountsWhatTheOtherVmStates) {
  vms_[0] = Start(0, kStart);
  const auto& route = *vms_[0]->routes().Find("h", "/x");
  const auto arrivals_with = [&](std::optional<int> stated) {
    auto request =
        vms_[0]->AdmitPassedOn(RequestId("id"), route, "", std::nullopt,
                               {RetryRule::kIdempotent, Verdict::kNotRun, stated}, kStart);
    SendWhileAllowed(*vms_[0], request, kStart);
    return request.own_arrivals();
  };
  EXPECT_EQ(arrivals_with(0), 1);
  EXPECT_EQ(arrivals_with(1), 0);
  EXPECT_EQ(arrivals_with(std::nullopt), 0);
}

}  // namespace
}  // namespace heatherspan
