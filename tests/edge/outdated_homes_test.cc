#include <string>

#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

/// A configuration that keeps the requests of the route "/home/" in one region, beside the usual
/// routes.
auto HomePolicy(int version, const std::string& region) -> std::string {
  auto text = Policy(version);
  text.insert(text.rfind("]}"), R"(,
    {"type":"routes","metadata":{"name":"home"},"spec":{"host":"h.example","path_prefix":"/home/","kind":"safe",
     "timeout_s":3,"latency_slo_s":1,"priority":1,"service":"s","max_attempts":2,"allowed_regions":[")" +
                                    region + R"("]}})");
  return text;
}

class OutdatedHomesTest : public EdgeNodeFixture {};

// Guards against a request that runs in a former home, because the entry VM, which knows that it
// may lack changes, still goes by it.
TEST_F(OutdatedHomesTest, AVmThatMayLackChangesSendsNothingToAHome) {
  const TargetStub target("i-1");
  Register(target);
  settings_.bounds.apply = std::chrono::seconds(1);
  store_.Put("op/config", HomePolicy(1, "r"));
  Start();
  ASSERT_EQ(Send("/home/x").response.status, 200);
  store_.SetDown(true);
  store_.Put("op/config", HomePolicy(2, "elsewhere"));
  EXPECT_TRUE(Eventually([&] { return Send("/home/x").response.status == 503; }));
  const auto runs = target.Requests().size();
  EXPECT_EQ(Send("/home/x").response.status, 503);
  EXPECT_EQ(target.Requests().size(), runs);
  EXPECT_EQ(Send("/read/x").response.status, 200);
  node_.reset();
}

// Guards against a VM that refuses homes for good, or without a line, and against one that keeps
// the VM which passes a request on from trying another one.
TEST_F(OutdatedHomesTest, HomesAreKnownAgainOnceTheStoreAnswers) {
  const TargetStub target("i-1");
  Register(target);
  settings_.bounds.apply = std::chrono::seconds(1);
  store_.Put("op/config", HomePolicy(1, "r"));
  Start();
  store_.SetDown(true);
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("event=homes-stale age_ms="); }));
  EXPECT_FALSE(log_capture_.Contains("event=homes-known"));
  const auto request = Request("/heatherspan/relay/home/x");
  const auto answer = caller_.SendAndWait(settings_.peers, request, kTimeout).response;
  EXPECT_EQ(answer.Header("Heatherspan-Relay-Verdict"), "out-of-reach");
  EXPECT_EQ(answer.Header("Retry-After"), "0.050");
  store_.SetDown(false);
  EXPECT_TRUE(Eventually([&] { return Send("/home/x").response.status == 200; }));
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("event=homes-known age_ms="); }));
  node_.reset();
}

// Guards against a request that runs in a former home, because the configuration that moved it
// can't be read.
TEST_F(OutdatedHomesTest, AConfigurationThatCanNotBeReadLeavesNoHomeKnown) {
  const TargetStub target("i-1");
  Register(target);
  store_.Put("op/config", HomePolicy(1, "r"));
  Start();
  ASSERT_EQ(Send("/home/x").response.status, 200);
  store_.Put("op/config", "{");
  EXPECT_TRUE(Eventually([&] { return Send("/home/x").response.status == 503; }));
  EXPECT_EQ(Send("/read/x").response.status, 200);
  store_.Put("op/config", HomePolicy(2, "r"));
  EXPECT_TRUE(Eventually([&] { return Send("/home/x").response.status == 200; }));
  node_.reset();
}

// Guards against a request that runs outside its home, because its route had none in the latest
// configuration that the entry VM knows.
TEST_F(OutdatedHomesTest, AVmThatMayLackChangesSendsNothingPastANewHome) {
  const TargetStub target("i-1");
  Register(target);
  settings_.bounds.apply = std::chrono::seconds(1);
  store_.Put("op/config", Policy(1));
  Start();
  ASSERT_EQ(Send("/read/x").response.status, 200);
  store_.SetDown(true);
  EXPECT_TRUE(Eventually([&] { return Send("/read/x").response.status == 503; }));
  node_.reset();
}

}  // namespace
}  // namespace heatherspan
