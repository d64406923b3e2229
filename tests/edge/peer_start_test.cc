#include <string>

#include "base/number_text.h"
#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

class PeerStartTest : public EdgeNodeFixture {
 protected:
  /// The age of the first node's state.
  auto StateAgeSeconds() -> double {
    const auto text = Get(settings_.metrics, "/metrics").body;
    const std::string name = "heatherspan_input_age_seconds{source=\"store\"} ";
    const auto at = std::string(text).find(name);
    if (at == std::string::npos) return 0;
    const auto rest = std::string(text).substr(at + name.size());
    return ParseNumber<double>(rest.substr(0, rest.find('\n'))).value_or(0);
  }
};

// Guards against a process that takes its state from a peer that is behind, and sends requests to
// what was a home long ago.
TEST_F(PeerStartTest, AVmThatStartsFromAnOldStateSendsNothingToAHome) {
  constexpr double kAge = 3;
  TargetStub target("i-1");
  Register(target);
  settings_.bounds.apply = std::chrono::seconds(1);
  auto policy = Policy(1);
  policy.insert(policy.rfind("]}"),
                R"(,{"type":"routes","metadata":{"name":"home"},"spec":{"host":"h.example",)"
                R"("path_prefix":"/home/","kind":"safe","timeout_s":3,"latency_slo_s":1,)"
                R"("service":"s","allowed_regions":["r"]}})");
  store_.Put("op/config", policy);
  Start();
  store_.SetDown(true);
  ASSERT_TRUE(Eventually([&] { return StateAgeSeconds() > kAge; }));
  auto settings = SecondNodeSettings();
  settings.seeds = {settings_.peers};
  EdgeNode<FleetPlatform> started(settings, log_, [] {});
  ASSERT_TRUE(started.Start().ok());
  const auto status_of = [&](const std::string& path) {
    return caller_.SendAndWait(settings.callers, Request(path), kTimeout).response.status;
  };
  ASSERT_TRUE(Eventually([&] { return status_of("/read/x") == 200; }));
  EXPECT_EQ(status_of("/home/x"), 503);
}

}  // namespace
}  // namespace heatherspan
