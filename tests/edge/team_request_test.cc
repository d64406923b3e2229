#include <algorithm>
#include <string>

#include "edge_node_fixture.h"
#include "net/header_lookup.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

/// A configuration with two teams, and the route "/open/" for callers without a key beside the
/// usual ones.
auto TeamPolicy(int version, const std::string& blue_key) -> std::string {
  auto text = Policy(version);
  text.insert(text.rfind("]}"), R"(,
    {"type":"routes","metadata":{"name":"open"},"spec":{"host":"h.example","path_prefix":"/open/","kind":"safe",
     "timeout_s":3,"latency_slo_s":1,"priority":1,"service":"s","max_attempts":2,"allow_anonymous":true}},
    {"type":"tenants","metadata":{"name":"red"},"spec":{"api_keys":["secret-red"]}},
    {"type":"tenants","metadata":{"name":"blue"},"spec":{"api_keys":[")" +
                                    blue_key + R"("],"priority":0}})");
  return text;
}

class TeamRequestTest : public EdgeNodeFixture {
 protected:
  TeamRequestTest() { Register(target_); }

  auto SendWithKey(const Endpoint& callers, const std::string& path, const std::string& key)
      -> HttpResponse {
    auto request = Request(path);
    request.headers.push_back({"Heatherspan-Tenant-Id", "forged"});
    if (!key.empty()) request.headers.push_back({"Api-Key", key});
    return caller_.SendAndWait(callers, request, kTimeout).response;
  }
  auto SendWithKey(const std::string& path, const std::string& key) -> HttpResponse {
    return SendWithKey(settings_.callers, path, key);
  }
  auto Becomes(int status, const Endpoint& callers, const std::string& key) -> bool {
    return Eventually([&] { return SendWithKey(callers, "/read/x", key).status == status; });
  }
  /// The values of the field in the last request at the target, joined.
  auto AtTarget(const std::string& name) const -> std::string {
    std::string values;
    const auto request = target_.Requests().back();
    for (const auto& field : request.headers) {
      if (EqualHeaderNames(field.name, name)) values += field.value + ";";
    }
    return values;
  }

  TargetStub target_{"i-1"};
};

// Guards against a target that sees a key, or another team than the one that holds it.
TEST_F(TeamRequestTest, TheKeyDecidesWhatTheTargetIsTold) {
  store_.Put("op/config", TeamPolicy(1, "secret-blue"));
  Start();
  for (const auto* team : {"red", "blue"}) {
    EXPECT_EQ(SendWithKey("/read/x", std::string("secret-") + team).status, 200);
    EXPECT_EQ(AtTarget("Heatherspan-Tenant-Id"), std::string(team) + ";");
    EXPECT_EQ(AtTarget("Api-Key"), "");
  }
  EXPECT_EQ(SendWithKey("/open/x", "").status, 200);
  EXPECT_EQ(AtTarget("Heatherspan-Tenant-Id"), "");
  EXPECT_EQ(SendWithKey("/open/x", "secret-red").status, 200);
  EXPECT_EQ(AtTarget("Heatherspan-Tenant-Id"), "red;");
  const auto runs = target_.Requests().size();
  EXPECT_EQ(SendWithKey("/read/x", "").status, 401);
  EXPECT_EQ(SendWithKey("/read/x", "red").status, 401);
  EXPECT_EQ(target_.Requests().size(), runs);
  const auto metrics = Get(settings_.metrics, "/metrics").body;
  EXPECT_NE(metrics.find("heatherspan_team_requests_total{team=\"blue\",result=\"served\"} 1"),
            std::string::npos)
      << metrics;
  node_.reset();
  const auto text = log_capture_.Text();
  EXPECT_NE(text.find("event=teams-applied version=1 teams=2 rejected=0 keys=2"), std::string::npos)
      << text;
  EXPECT_NE(text.find("team=blue"), std::string::npos);
  EXPECT_EQ(text.find("secret"), std::string::npos);
  EXPECT_EQ(metrics.find("secret"), std::string::npos);
}

// Guards against a caller who goes on with a key that has been taken from its team.
TEST_F(TeamRequestTest, AWithdrawnKeyRunsNothingMore) {
  store_.Put("op/config", TeamPolicy(1, "secret-blue"));
  Start();
  EXPECT_EQ(SendWithKey("/read/x", "secret-blue").status, 200);
  store_.Put("op/config", TeamPolicy(2, "secret-other"));
  EXPECT_TRUE(Becomes(401, settings_.callers, "secret-blue"));
  const auto runs = target_.Requests().size();
  EXPECT_EQ(SendWithKey("/read/x", "secret-blue").status, 401);
  EXPECT_EQ(target_.Requests().size(), runs);
  EXPECT_EQ(SendWithKey("/read/x", "secret-other").status, 200);
  EXPECT_TRUE(log_capture_.Contains("keys_added=1 keys_withdrawn=1"));
}

// Guards against a VM that hears nothing and runs requests with keys that may have been withdrawn,
// and against one that refuses callers without a key as well, or for good.
TEST_F(TeamRequestTest, RefusesKeysThatItCanNotBeSureOf) {
  settings_.bounds.revocation = seconds(1);
  store_.Put("op/config", TeamPolicy(1, "secret-blue"));
  Start();
  EXPECT_TRUE(Becomes(200, settings_.callers, "secret-blue"));
  store_.SetDown(true);
  EXPECT_TRUE(Becomes(503, settings_.callers, "secret-blue"));
  const auto refused = SendWithKey("/read/x", "secret-blue");
  EXPECT_EQ(refused.status, 503);
  EXPECT_FALSE(refused.Header("Retry-After").empty());
  EXPECT_EQ(SendWithKey("/read/x", "unknown").status, 503);
  EXPECT_EQ(SendWithKey("/open/x", "").status, 200);
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("event=keys-stale"); }));
  EXPECT_TRUE(log_capture_.Contains("reason=stale-configuration"));
  store_.SetDown(false);
  EXPECT_TRUE(Becomes(200, settings_.callers, "secret-blue"));
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("event=keys-proved"); }));
}

// Guards against a VM that refuses keys although a peer knows that they hold, and against two VMs
// that vouch for each other while neither hears the store.
TEST_F(TeamRequestTest, APeerThatHearsTheStoreVouchesForKeys) {
  settings_.bounds.revocation = seconds(1);
  store_.Put("op/config", TeamPolicy(1, "secret-blue"));
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
  // The call of the second VM that has no answer lasts longer than its own proof.
  ASSERT_TRUE(Eventually([&] { return capture.Contains("event=store-lost"); }));
  EXPECT_TRUE(Becomes(200, settings.callers, "secret-blue"));
  store_.SetDown(true);
  EXPECT_TRUE(Becomes(503, settings.callers, "secret-blue"));
  EXPECT_TRUE(Becomes(503, settings_.callers, "secret-blue"));
  EXPECT_EQ(SendWithKey(settings.callers, "/read/x", "secret-blue").status, 503);
}

// Guards against a VM that refuses keys for good beside a reader of an earlier build, whose answers
// say nothing of their proof.
TEST_F(TeamRequestTest, ReadsTheStoreItselfIfItsPeerProvesNothing) {
  // It becomes the reader of the zone.
  const auto earlier_build = SecondNodeSettings();
  settings_.bounds.revocation = seconds(1);
  store_.Put("op/config", TeamPolicy(1, "secret-blue"));
  Start();
  LogCapture capture;
  std::ostream stream(&capture);
  EventLog log(LogLevel::kInfo, stream);
  EdgeNode<FleetPlatform> second(earlier_build, log, [] {});
  ASSERT_TRUE(second.Start().ok());
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("event=store-reading reads=0"); }));
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("event=store-reading reads=1"); }));
  EXPECT_TRUE(Becomes(200, settings_.callers, "secret-blue"));
}

// Guards against a VM that can't read the latest configuration and counts the one before as proved.
TEST_F(TeamRequestTest, AConfigurationThatCanNotBeReadIsNoProof) {
  settings_.bounds.revocation = seconds(1);
  store_.Put("op/config", TeamPolicy(1, "secret-blue"));
  Start();
  EXPECT_TRUE(Becomes(200, settings_.callers, "secret-blue"));
  store_.Put("op/config", R"({"version":"r2"})");
  EXPECT_TRUE(Becomes(503, settings_.callers, "secret-blue"));
  store_.Put("op/config", TeamPolicy(3, "secret-blue"));
  EXPECT_TRUE(Becomes(200, settings_.callers, "secret-blue"));
}

}  // namespace
}  // namespace heatherspan
