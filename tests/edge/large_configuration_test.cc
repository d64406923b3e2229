#include <cstdlib>
#include <string>

#include "edge_node_fixture.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

/// The usual configuration and many routes more.
auto LargePolicy(int version, int routes) -> std::string {
  auto text = Policy(version);
  std::string more;
  for (int i = 0; i < routes; ++i) {
    more += fmt::format(
        R"(,
    {{"type":"routes","metadata":{{"name":"more-{0}"}},"spec":{{"host":"h.example","path_prefix":"/more/{0}/",
     "kind":"safe","timeout_s":3,"latency_slo_s":1,"priority":1,"service":"s","max_attempts":2}}}})",
        i);
  }
  text.insert(text.rfind("]}"), more);
  return text;
}

class LargeConfigurationTest : public EdgeNodeFixture {
 protected:
  /// Bytes of changes that the node has given to its peers.
  auto GivenBytes() -> double {
    const std::string name =
        R"(heatherspan_peer_state_bytes_total{kind="changes",direction="given"} )";
    const auto text = Get(settings_.metrics, "/metrics").body;
    const auto found = text.find(name);
    return found == std::string::npos ? 0
                                      : std::strtod(text.c_str() + found + name.size(), nullptr);
  }
};

// Guards against peers that fill the links of the machines with a large configuration.
TEST_F(LargeConfigurationTest, PeersGiveItInASmallPartOfItsSize) {
  store_.Put("op/config", Policy(1));
  Start();
  auto settings = SecondNodeSettings();
  settings.store = store_.second_endpoint();
  LogCapture capture;
  std::ostream stream(&capture);
  EventLog log(LogLevel::kInfo, stream);
  EdgeNode<FleetPlatform> second(settings, log, [] {});
  ASSERT_TRUE(second.Start().ok());
  ASSERT_TRUE(Eventually([&] { return store_.Has("entry/n-2"); }));
  store_.SetSecondSilent(true);
  const auto large = LargePolicy(2, 2000);
  store_.Put("op/config", large);
  ASSERT_TRUE(Eventually([&] {
    return capture.Contains("event=configuration-applied version=2") &&
           capture.Contains("event=peer-changes-applied peer=" + settings_.peers.Text());
  })) << capture.Text();
  EXPECT_GT(GivenBytes(), 0);
  EXPECT_LT(GivenBytes(), static_cast<double>(large.size()) / 4);
}

}  // namespace
}  // namespace heatherspan
