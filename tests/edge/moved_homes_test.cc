#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "edge_node_fixture.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

/// What a configuration says of the requests for "/home/".
struct HomeRule {
  std::string regions = {};       ///< Of the route, as a list in JSON; empty: any.
  std::string team_regions = {};  ///< Of the team that holds the key, the same.
  std::string key = "secret";     ///< Of the team.
  std::string path_prefix = "/home/";
};

auto HomePolicy(int version, const HomeRule& rule) -> std::string {
  const auto homes = [](const std::string& regions) {
    return regions.empty() ? "" : fmt::format(R"(,"allowed_regions":{})", regions);
  };
  auto text = Policy(version);
  text.insert(
      text.rfind("]}"),
      fmt::format(R"(,{{"type":"routes","metadata":{{"name":"home"}},"spec":{{"host":"h.example",
    "path_prefix":"{}","kind":"safe","timeout_s":3,"latency_slo_s":1,"priority":1,"service":"s",
    "max_attempts":2{}}}}},{{"type":"tenants","metadata":{{"name":"red"}},
    "spec":{{"api_keys":["{}"]{}}}}})",
                  rule.path_prefix, homes(rule.regions), rule.key, homes(rule.team_regions)));
  return text;
}

/// Homes that move while a request is at its first target, which then refuses it.
struct HomeChange {
  std::string name;
  HomeRule before;
  HomeRule after;
  int status = 200;
  std::string second_run;  ///< The region of it, if there is one.
};

/// An entry VM in region r, two targets in its region and one in region q.
class MovedHomesTest : public EdgeNodeFixture, public testing::WithParamInterface<HomeChange> {
 protected:
  auto StartWith(const std::string& policy) -> void {
    settings_.zones = {{ZoneName("a"), RegionName("r")}, {ZoneName("b"), RegionName("q")}};
    settings_.bounds.retry_ratio = 2;
    for (auto* target : {&one_, &two_, &remote_}) {
      const std::string region = target == &remote_ ? "q" : "r";
      target->SetBehaviour(
          [this, region](const HttpRequest& request, const HttpServer::Responder& respond) {
            Run(region, request, respond);
          });
    }
    Register(one_);
    Register(two_);
    auto registration = remote_.Registration();
    const std::string zone = R"("zone":"a")";
    registration.replace(registration.find(zone), zone.size(), R"("zone":"b")");
    store_.Put("servers/" + remote_.name(), registration);
    store_.Put("op/config", policy);
    Start();
  }

  auto Run(const std::string& region, const HttpRequest& request,
           const HttpServer::Responder& respond) -> void {
    if (request.target == "/health") {
      respond({});
      return;
    }
    const std::lock_guard lock(mutex_);
    runs_ += region;
    if (runs_.size() == 1) {
      held_ = respond;
      return;
    }
    HttpResponse response;
    response.headers = {{"Heatherspan-Response-Signature", "sig"},
                        {"Heatherspan-Request-Id", "id-7"}};
    respond(std::move(response));
  }

  /// Sends a request, applies the policy, and has the first target refuse it.
  auto SendDuringChange(const std::string& policy) -> HttpResponse {
    auto request = Request("/home/x");
    request.headers.push_back({"Api-Key", "secret"});
    std::optional<HttpResponse> result;
    caller_.Send(settings_.callers, request, kTimeout, [this, &result](HttpResult sent) {
      const std::lock_guard lock(mutex_);
      result = std::move(sent.response);
    });
    EXPECT_TRUE(Eventually([&] { return !runs().empty(); }));
    store_.Put("op/config", policy);
    EXPECT_TRUE(
        Eventually([&] { return log_capture_.Contains("configuration-applied version=2"); }));
    {
      const std::lock_guard lock(mutex_);
      Refuse(request, std::exchange(held_, nullptr));
    }
    EXPECT_TRUE(Eventually([&] {
      const std::lock_guard lock(mutex_);
      return result.has_value();
    }));
    const std::lock_guard lock(mutex_);
    return result.value_or(HttpResponse());
  }

  auto runs() -> std::string {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

  std::mutex mutex_;
  std::string runs_;  ///< The regions of the targets that got the request, in order.
  TargetStub one_{"i-1"};
  TargetStub two_{"i-2"};
  TargetStub remote_{"i-3"};
  HttpServer::Responder held_;
};

// Guards against a retry in a region that is no home any more, or by a team that may not use it.
TEST_P(MovedHomesTest, ARetryFollowsTheConfigurationInForce) {
  StartWith(HomePolicy(1, GetParam().before));
  const auto response = SendDuringChange(HomePolicy(2, GetParam().after));
  EXPECT_EQ(response.status, GetParam().status);
  EXPECT_EQ(runs(), "r" + GetParam().second_run);
  if (GetParam().status == 503) {
    EXPECT_FALSE(response.Header("Retry-After").empty());
    EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("reason=configuration-changed"); }));
  }
  node_.reset();
}

const std::string here = R"(["r"])";
const std::string there = R"(["q"])";
const std::string both = R"(["r","q"])";

INSTANTIATE_TEST_SUITE_P(
    Changes, MovedHomesTest,
    testing::Values(HomeChange{"NoHomeLeft", {here}, {there}, 503, ""},
                    HomeChange{"OneHomeLeft", {both}, {there}, 200, "q"},
                    HomeChange{"HomesAppear", {}, {there}, 200, "q"},
                    HomeChange{"HomesGo", {here}, {}, 200, "r"},
                    HomeChange{"TeamMoves", {both, here}, {both, there}, 503, ""},
                    HomeChange{"TeamGetsHomes", {}, {"", there}, 200, "q"},
                    HomeChange{"NothingInCommon", {both}, {here, there}, 503, ""},
                    HomeChange{"KeyWithdrawn", {}, {"", "", "other"}, 503, ""},
                    HomeChange{"RouteGone", {here}, {"", "", "secret", "/gone/"}, 200, "r"},
                    HomeChange{
                        "RouteGoneAndTeamMoves", {here}, {"", there, "secret", "/gone/"}, 503, ""}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace heatherspan
