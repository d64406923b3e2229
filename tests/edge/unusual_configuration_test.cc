#include <ostream>
#include <string>
#include <vector>

#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

/// Configurations and states of the store that are unusual. All of them that can be read allow the
/// requests of this test.
class UnusualConfigurationTest : public EdgeNodeFixture {
 protected:
  static auto Replaced(std::string text, const std::string& from, const std::string& to)
      -> std::string {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
      text.replace(at, from.size(), to);
    }
    return text;
  }

  /// Returns the configuration with one more resource in front of the others.
  static auto With(const std::string& policy, const std::string& resource) -> std::string {
    const std::string first = R"("resources":[)";
    return Replaced(policy, first, first + resource + ",");
  }

  /// Marks the present state of the store.
  auto Mark() -> std::string {
    const auto zone = "mark-" + std::to_string(++marks_);
    store_.Put("op/evacuate/" + zone, "{}");
    return "zone=" + zone + " ";
  }

  /// Sends to a node that has just started.
  auto ExpectNotDeniedAtStart(const std::string& step) -> void {
    const auto mark = Mark();
    LogCapture capture;
    std::ostream stream(&capture);
    EventLog log(LogLevel::kInfo, stream);
    const auto settings = SecondNodeSettings();
    EdgeNode<FleetPlatform> started(settings, log, [] {});
    ASSERT_TRUE(started.Start().ok());
    ExpectAnswers(settings.callers, step + ", at its start");
    ASSERT_TRUE(Eventually([&] { return capture.Contains(mark); })) << step;
    ExpectAnswers(settings.callers, step + ", just started");
  }

  /// Sends to the node that runs all the time.
  auto ExpectNotDenied(const std::string& step) -> void {
    const auto mark = Mark();
    ASSERT_TRUE(Eventually([&] { return log_capture_.Contains(mark); })) << step;
    ExpectAnswers(settings_.callers, step);
  }

  auto ExpectAnswers(const Endpoint& callers, const std::string& step) -> void {
    for (const auto* path :
         {"/read/x", "/read/", "/read/x?y=/book/", "/read/%2F%41//.", "/read/?"}) {
      for (const auto* host : {"h.example", "H.EXAMPLE", "h.example:80"}) {
        auto request = Request(path);
        request.headers[0].value = host;
        const auto status = caller_.SendAndWait(callers, request, kTimeout).response.status;
        EXPECT_TRUE(status == 200 || status == 503) << step << ": " << path << " " << status;
      }
    }
  }

  int marks_ = 0;
};

// Guards against 401, 404 and other refusals for good of requests that each configuration allows.
TEST_F(UnusualConfigurationTest, NoProperRequestIsDenied) {
  TargetStub target("i-1");
  Register(target);
  store_.Put("op/config", Policy(1));
  Start();
  ASSERT_EQ(Send("/read/x").response.status, 200);
  const auto root = Replaced(
      R"({"type":"routes","metadata":{"name":"root"},"spec":{"host":"h.example","path_prefix":"/","kind":"safe",
      "timeout_s":3,"latency_slo_s":1,"service":"s"}})",
      "\n", "");
  const auto inner = Replaced(root, R"("/")", R"("/read/x/")");
  const auto twice = Replaced(root, R"("/")", R"("/read/")");
  const std::string prefix = R"("path_prefix":"/read/",)";
  const std::string service = R"("service":"s")";
  const std::vector<std::string> configurations = {
      Replaced(Policy(2), "h.example", "H.Example"),
      Replaced(Policy(3), "h.example", "h.example:8080"),
      With(With(Policy(4), root), inner),
      With(Policy(5), twice),
      With(Policy(6), Replaced(twice, "h.example", "H.EXAMPLE:1")),
      Replaced(Policy(7), service,
               R"("split":[{"service":"s","weight":1},{"service":"t","weight":0}])"),
      With(Policy(8), R"({"type":"limits","spec":{}})"),
      With(Policy(9), R"({"type":"limits","spec":{"header_bytes":-1,"max_body_bytes":"x"}})"),
      With(Policy(10), R"({"type":"unknown","spec":null})"),
      // These can't be read.
      Replaced(Policy(11), service, R"("split":[{"service":"s","weight":0}])"),
      Replaced(Policy(12), prefix, ""),
      With(Policy(13), R"({"type":"routes","metadata":{"name":"bare"}})"),
      With(Policy(14), "7"),
      Policy(15).substr(0, 400),
      Replaced(Policy(16), "r16", "16"),
      "",
      "\xff",
      "[]",
  };
  const auto older = Replaced(Policy(9), prefix, R"("path_prefix":"/gone/",)");
  const auto same_version = Replaced(Policy(10), prefix, R"("path_prefix":"/gone/",)");
  const auto unreadable = Replaced(Policy(30), prefix, "");
  for (const auto& configuration : configurations) {
    store_.Put("op/config", configuration);
    ExpectNotDeniedAtStart(configuration.substr(0, 200));
    if (HasFatalFailure()) return;
  }
  store_.Put("op/config", Policy(10));
  ExpectNotDenied("readable again");
  for (const auto& configuration : {older, same_version, unreadable}) {
    store_.Put("op/config", configuration);
    ExpectNotDenied(configuration.substr(0, 200));
    if (HasFatalFailure()) return;
  }
  EXPECT_EQ(Send("/read/x").response.status, 200);
  store_.Remove("op/config");
  ExpectNotDeniedAtStart("removed");
  store_.Save();
  store_.Put("op/config", Policy(20));
  store_.DiscardHistory();
  ExpectNotDenied("without history");
  store_.Restore();
  ExpectAnswers(settings_.callers, "restored");
  ExpectNotDenied("restored to a copy without a configuration");
  ExpectNotDeniedAtStart("restored to a copy without a configuration");
  store_.SetDown(true);
  ExpectAnswers(settings_.callers, "without the store");
  EXPECT_EQ(Send("/read/x").response.status, 200);
  LogCapture capture;
  std::ostream stream(&capture);
  EventLog log(LogLevel::kInfo, stream);
  const auto settings = SecondNodeSettings();
  EdgeNode<FleetPlatform> started(settings, log, [] {});
  ASSERT_TRUE(started.Start().ok());
  ExpectAnswers(settings.callers, "started without the store");
}

// Guards against a request that runs outside its homes, because they have no targets or the next
// configuration can't be read.
TEST_F(UnusualConfigurationTest, RegionsThatCanNotBeUsedOrReadStillBind) {
  TargetStub target("i-1");
  Register(target);
  const auto policy = [](int version, const std::string& regions) {
    return With(Policy(version),
                R"({"type":"routes","metadata":{"name":"home"},"spec":{"host":"h.example",)"
                R"("path_prefix":"/read/home/","kind":"safe","timeout_s":3,"latency_slo_s":1,)"
                R"("service":"s","allowed_regions":)" +
                    regions + "}}");
  };
  store_.Put("op/config", policy(1, R"(["elsewhere"])"));
  Start();
  ASSERT_EQ(Send("/read/x").response.status, 200);
  EXPECT_EQ(Send("/read/home/x").response.status, 503);
  int version = 1;
  for (const auto* regions : {R"("elsewhere")", "[7]", "{}", R"(["elsewhere",null])"}) {
    store_.Put("op/config", policy(++version, regions));
    ExpectNotDenied(regions);
    EXPECT_EQ(Send("/read/home/x").response.status, 503) << regions;
  }
  EXPECT_TRUE(log_capture_.Contains("field allowed_regions: "));
  store_.Put("op/config", policy(++version, R"(["r"])"));
  EXPECT_TRUE(Eventually([&] { return Send("/read/home/x").response.status == 200; }));
}

}  // namespace
}  // namespace heatherspan
