#include <string>

#include "edge_node_fixture.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

/// A list of names in JSON.
auto Names(const std::string& one, const std::string& two = "") -> std::string {
  return two.empty() ? "[\"" + one + "\"]" : "[\"" + one + "\",\"" + two + "\"]";
}

/// A configuration with the safe route "/home/", whose requests may run in the regions, and further
/// ones like it, beside the usual routes.
auto HomePolicy(int version, const std::string& regions, int further = 0) -> std::string {
  auto text = Policy(version);
  for (int i = 0; i <= further; ++i) {
    const auto name = i == 0 ? std::string("home") : "home" + std::to_string(i);
    text.insert(text.rfind("]}"),
                fmt::format(R"(,{{"type":"routes","metadata":{{"name":"{0}"}},"spec":{{
    "host":"h.example","path_prefix":"/{0}/","kind":"safe","timeout_s":3,"latency_slo_s":1,
    "priority":1,"service":"s","max_attempts":2,"allowed_regions":{1}}}}})",
                            name, regions));
  }
  return text;
}

class HomeRegionsTest : public EdgeNodeFixture {
 protected:
  auto Metrics() -> std::string { return Get(settings_.metrics, "/metrics").body; }

  auto ApplyVersionTwo(const std::string& policy) -> void {
    store_.Put("op/config", policy);
    ASSERT_TRUE(
        Eventually([&] { return log_capture_.Contains("configuration-applied version=2"); }));
  }
};

// Guards against a request outside its homes whose log doesn't tell what bound it, where it went
// and how old the VM's state was.
TEST_F(HomeRegionsTest, TheLogTellsWhatARequestWasPlacedBy) {
  const TargetStub target("i-1");
  Register(target);
  store_.Put("op/config", HomePolicy(1, Names("r", "q")));
  Start();
  EXPECT_EQ(Send("/home/x").response.status, 200);
  EXPECT_EQ(Send("/read/x").response.status, 200);
  EXPECT_TRUE(Eventually([&] {
    return log_capture_.Contains(
               "route_config=1 config=1 homes=r,q target_region=r placed_config=1 "
               "placed_state_age_ms=") &&
           log_capture_.Contains(
               "route_config=1 config=1 homes=\"\" target_region=r placed_config=1");
  })) << log_capture_.Text();
  EXPECT_NE(Metrics().find("heatherspan_restricted_attempts_total{home=\"yes\"} 1"),
            std::string::npos)
      << Metrics();
}

// Guards against homes that move without a trace in the log, and against a line for each of many.
TEST_F(HomeRegionsTest, TheLogTellsWhichHomesHaveMoved) {
  constexpr int kFurther = 24;
  store_.Put("op/config", HomePolicy(1, Names("r", "q"), kFurther));
  Start();
  ApplyVersionTwo(HomePolicy(2, Names("q"), kFurther));
  EXPECT_TRUE(Eventually([&] {
    return log_capture_.Contains("event=route-regions-changed-further routes=5 version=2");
  }));
  EXPECT_TRUE(
      log_capture_.Contains("event=route-regions-changed route=home from=r,q to=q version=2"));
  EXPECT_TRUE(log_capture_.Contains("event=route-regions-changed route=home19 "));
  EXPECT_FALSE(log_capture_.Contains("event=route-regions-changed route=home20 "));
  EXPECT_TRUE(log_capture_.Contains(" bytes="));
}

}  // namespace
}  // namespace heatherspan
