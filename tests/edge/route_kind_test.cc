#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

/// A configuration in which "/read/x/" belongs to a route of the given kind, and otherwise to the
/// safe route "/read/".
auto PolicyWithSubroute(int version, const std::string& kind) -> std::string {
  auto policy = Policy(version);
  return policy.insert(policy.find(R"({"type":"services")"),
                       R"({"type":"routes","metadata":{"name":"sub"},"spec":{"host":"h.example",
      "path_prefix":"/read/x/","kind":")" +
                           kind + R"(","timeout_s":3,"latency_slo_s":1,"priority":1,"service":"s",
      "max_attempts":2,"session_affinity":true}},)");
}

/// A configuration change while a request is at its first target, by the kind of its path before
/// and after.
struct KindChange {
  std::string name;
  std::string before;
  std::string after;
  int runs = 1;  ///< After an attempt that may have run.
};

class RouteKindTest : public EdgeNodeFixture, public testing::WithParamInterface<KindChange> {
 protected:
  /// Two targets, of which the first that gets a request keeps it.
  auto StartWith(const std::string& policy) -> void {
    for (auto* target : {&one_, &two_}) {
      target->SetBehaviour(
          [this](const HttpRequest& request, const HttpServer::Responder& respond) {
            if (request.target == "/health") {
              respond({});
              return;
            }
            const std::lock_guard lock(mutex_);
            ++runs_;
            if (runs_ == 1) {
              held_ = respond;
            } else {
              respond(SignedAnswer(later_status_));
            }
          });
      Register(*target);
    }
    settings_.bounds.retry_ratio = 2;
    store_.Put("op/config", policy);
    Start();
  }

  static auto SignedAnswer(int status) -> HttpResponse {
    HttpResponse response;
    response.status = status;
    response.headers = {{"Heatherspan-Response-Signature", "sig"},
                        {"Heatherspan-Request-Id", "id-7"}};
    return response;
  }

  /// Sends a request to "/read/x/y", applies the policy, and has the first target answer.
  auto SendDuringChange(const std::string& policy, HttpResponse answer) -> HttpResponse {
    std::optional<HttpResponse> result;
    caller_.Send(settings_.callers, Request("/read/x/y", "POST"), kTimeout,
                 [this, &result](HttpResult sent) {
                   const std::lock_guard lock(mutex_);
                   result = std::move(sent.response);
                 });
    EXPECT_TRUE(Eventually([&] { return runs() == 1; }));
    store_.Put("op/config", policy);
    EXPECT_TRUE(
        Eventually([&] { return log_capture_.Contains("configuration-applied version=2"); }));
    {
      const std::lock_guard lock(mutex_);
      std::exchange(held_, nullptr)(std::move(answer));
    }
    EXPECT_TRUE(Eventually([&] {
      const std::lock_guard lock(mutex_);
      return result.has_value();
    }));
    const std::lock_guard lock(mutex_);
    return result.value_or(HttpResponse());
  }

  auto runs() -> int {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

  std::mutex mutex_;
  int runs_ = 0;
  int later_status_ = 200;  ///< Of all answers but the first.
  TargetStub one_{"i-1"};
  TargetStub two_{"i-2"};
  HttpServer::Responder held_;
};

// Guards against a request that runs twice, although a configuration that was in force at its VM
// before the repeat says that it must not.
TEST_P(RouteKindTest, TheStricterKindDecidesOfARepeat) {
  StartWith(PolicyWithSubroute(1, GetParam().before));
  // Not signed: the request may have run.
  const auto response = SendDuringChange(PolicyWithSubroute(2, GetParam().after), HttpResponse());
  EXPECT_EQ(response.status, GetParam().runs == 1 ? 502 : 200);
  EXPECT_EQ(runs(), GetParam().runs);
  node_.reset();
}

// Guards against a caller who takes the status of a target that has run the request for a promise,
// although a configuration that is in force by then lets the request run once only.
TEST_P(RouteKindTest, TheStricterKindDecidesOfAStatusThatPromises) {
  StartWith(PolicyWithSubroute(1, GetParam().before));
  later_status_ = 429;
  const auto response =
      SendDuringChange(PolicyWithSubroute(2, GetParam().after), SignedAnswer(later_status_));
  EXPECT_EQ(response.status, GetParam().runs == 1 ? 502 : 429);
  node_.reset();
}

INSTANTIATE_TEST_SUITE_P(Kinds, RouteKindTest,
                         testing::Values(KindChange{"BecomesUnsafe", "safe", "unsafe", 1},
                                         KindChange{"BecomesSafe", "unsafe", "safe", 1},
                                         KindChange{"StaysSafe", "safe", "safe", 2}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace heatherspan
