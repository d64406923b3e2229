#include "platform/policy_format.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fmt/format.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr auto kPolicy = R"({"version":"r12","extra":1,"resources":[
 {"type":"routes","metadata":{"name":"a"},"spec":{"host":"h.example","path_prefix":"/a/","kind":"unsafe",
  "timeout_s":3,"latency_slo_s":0.8,"priority":1,"service":"s","max_attempts":2,"session_affinity":true,
  "allowed_regions":["north"],"allow_anonymous":true}},
 {"type":"routes","metadata":{"name":"b"},"spec":{"host":"h.example","path_prefix":"/b/","kind":"safe",
  "timeout_s":2.5,"latency_slo_s":0.6,"split":[{"service":"s","weight":90},{"service":"t","weight":10}]}},
 {"type":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_conns":330,"cold_s":3.0,
  "cold_per_s":2.5}},
 {"type":"limits","metadata":{},"spec":{"header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
  "idle_timeout_s":15}},
 {"type":"something-new","metadata":{"name":"x"},"spec":{}}]})";

auto TargetText(const std::string& state, const std::string& slots = "3") -> std::string {
  return fmt::format(
      R"({{"address":"10.1.0.9:8080","born":1700000000001,"info":{{"service":"s","version":"v1",)"
      R"("zone":"a","max_concurrency":{}}},"status":{{"state":"{}","sequence":4,"cold_left_s":1.5}}}})",
      slots, state);
}

// Guards against a field that is read into the wrong member or in the wrong unit.
TEST(PolicyFormat, ReadsAConfiguration) {
  const auto policy = PolicyFormat::ReadPolicy(kPolicy);
  ASSERT_TRUE(policy.ok()) << policy.status();
  EXPECT_EQ(policy->version, ConfigVersion(12));
  ASSERT_EQ(policy->routes.size(), 2U);
  const auto& a = policy->routes[0];
  EXPECT_EQ(a.retry_rule, RetryRule::kAtMostOnce);
  EXPECT_EQ(a.timeout, milliseconds(3000));
  EXPECT_EQ(a.objective, milliseconds(800));
  EXPECT_EQ(a.max_attempts, 2);
  EXPECT_TRUE(a.session_affinity);
  EXPECT_TRUE(a.allow_anonymous);
  EXPECT_EQ(a.allowed_regions, std::vector<RegionName>{RegionName("north")});
  const auto& b = policy->routes[1];
  EXPECT_EQ(b.retry_rule, RetryRule::kIdempotent);
  EXPECT_FALSE(b.allow_anonymous);
  ASSERT_EQ(b.weighted_services.size(), 2U);
  EXPECT_EQ(b.weighted_services[1].service, ServiceName("t"));
  EXPECT_EQ(b.weighted_services[1].weight, 10);
  ASSERT_EQ(policy->services.size(), 1U);
  EXPECT_EQ(policy->services[0].cold_time, milliseconds(3000));
  EXPECT_EQ(policy->services[0].cold_requests_per_second, 2.5);
  EXPECT_EQ(policy->limits.body_bytes, 67108864U);
  EXPECT_EQ(policy->limits.idle_timeout, milliseconds(15000));
}

// Guards against a configuration that is applied in part, and against a crash on input of other
// writers.
TEST(PolicyFormat, RejectsInvalidConfigurations) {
  for (
      const auto* text :
      {"", "{", "[]", "null", R"({"version":12,"resources":[]})",
       R"({"version":"12","resources":[]})", R"({"version":"rx","resources":[]})",
       R"({"version":"r1"})", R"({"version":"r1","resources":[{}]})",
       R"({"version":"r1","resources":[{"type":"routes","metadata":{"name":"a"},"spec":{"host":"h"}}]})",
       R"({"version":"r1","resources":[{"type":"routes","metadata":{"name":"a"},"spec":{"host":"h",
         "path_prefix":"/","kind":"odd","timeout_s":1,"latency_slo_s":1,"service":"s"}}]})",
       R"({"version":"r1","resources":[{"type":"routes","metadata":{"name":"a"},"spec":{"host":"h",
         "path_prefix":"/","kind":"safe","timeout_s":-1,"latency_slo_s":1,"service":"s"}}]})"}) {
    EXPECT_FALSE(PolicyFormat::ReadPolicy(text).ok()) << text;
  }
}

auto RouteText(const std::string& name, const std::string& host, const std::string& more)
    -> std::string {
  return fmt::format(
      R"({{"type":"routes","metadata":{{"name":"{}"}},"spec":{{"host":"{}","path_prefix":"/a/b/",)"
      R"("kind":"safe","timeout_s":1,"latency_slo_s":1,"service":"s"{}}}}})",
      name, host, more);
}

// Guards against a route without its regions, or whose requests go by a shorter prefix, because a
// part of it can't be read, and against an error that doesn't say which.
TEST(PolicyFormat, RejectsARouteThatWouldLoseItsRegions) {
  const auto policy_of = [](const std::string& routes) {
    return PolicyFormat::ReadPolicy(R"({"version":"r1","resources":[)" + routes + "]}");
  };
  const std::string wanted = ", expected a list of names";
  const struct {
    std::string routes, error;
  } cases[] = {
      {RouteText("a", "h", R"(,"allowed_regions":"n")"), "allowed_regions: \"n\"" + wanted},
      {RouteText("a", "h", R"(,"allowed_regions":{"n":1})"), "allowed_regions: object" + wanted},
      {RouteText("a", "h", R"(,"allowed_regions":[["n"]])"), "allowed_regions: array" + wanted},
      {RouteText("a", "h", R"(,"allowed_regions":["n",7])"), "allowed_regions: array" + wanted},
      {RouteText("a", "h", R"(,"allowed_regions":[""])"), "allowed_regions: array" + wanted},
      {RouteText("a", "h", R"(,"path_prefix":"/a/b")"), "path_prefix: \"/a/b\", expected a path"},
      {R"({"type":"routes","metadata":{"name":7},"spec":{}})", "field name: 7, expected a text"},
      {R"({"type":"routes","spec":{}})", "invalid entry 1 of resources: field metadata: missing"},
      {RouteText("a", "h", R"(,"allowed_regions":["n"])") + "," + RouteText("b", "H:80", ""),
       "invalid route b: field allowed_regions: 0 names, expected those of route a"}};
  for (const auto& one : cases) {
    const auto policy = policy_of(one.routes);
    ASSERT_FALSE(policy.ok()) << one.routes;
    EXPECT_NE(policy.status().message().find(one.error), std::string::npos) << policy.status();
  }
  const std::string regions = R"(,"allowed_regions":["n","e"])";
  EXPECT_TRUE(policy_of(RouteText("a", "h", regions) + "," + RouteText("b", "H:80", regions)).ok());
}

// Guards against a configuration that is rejected because of a route without a restriction, in any
// of the forms in which writers state that.
TEST(PolicyFormat, AcceptsRoutesAndTeamsWithoutARestriction) {
  for (const auto* regions : {"", R"(,"allowed_regions":[])", R"(,"allowed_regions":null)"}) {
    const auto policy = PolicyFormat::ReadPolicy(
        R"({"version":"r1","resources":[)" + RouteText("a", "h", regions) +
        R"(,{"type":"tenants","metadata":{"name":"t"},"spec":{"api_keys":["k"])" + regions +
        "}}]}");
    ASSERT_TRUE(policy.ok()) << policy.status();
    EXPECT_TRUE(policy->routes.front().allowed_regions.empty()) << regions;
    ASSERT_EQ(policy->teams.size(), 1U) << regions;
    EXPECT_TRUE(policy->teams.front().allowed_regions.empty()) << regions;
  }
}

auto PolicyWithTeam(const std::string& name, const std::string& spec)
    -> absl::StatusOr<TrafficPolicy> {
  return PolicyFormat::ReadPolicy(fmt::format(
      R"({{"version":"r1","resources":[{{"type":"tenants","metadata":{{"name":{}}},"spec":{}}},)"
      R"({{"type":"tenants","metadata":{{"name":"other"}},"spec":{{"api_keys":["k"]}}}}]}})",
      name, spec));
}

// Guards against a team whose rules are read wrongly, and against keys that are kept as they are.
TEST(PolicyFormat, ReadsTeams) {
  const auto policy =
      PolicyWithTeam(R"("huka270")", R"({"api_keys":["a","b"],"priority":1,"rate_per_s":511.5,)"
                                     R"("burst":40,"allowed_regions":["north","east"]})");
  ASSERT_TRUE(policy.ok()) << policy.status();
  ASSERT_EQ(policy->teams.size(), 2U);
  EXPECT_TRUE(policy->rejected_teams.empty());
  const auto& team = policy->teams[0];
  EXPECT_EQ(team.name, TeamName("huka270"));
  EXPECT_EQ(team.keys, (std::vector{AccessKeyDigest::Of("a"), AccessKeyDigest::Of("b")}));
  EXPECT_EQ(team.priority, 1);
  EXPECT_EQ(team.quota, (TeamQuota{RequestsPerSecond(511.5), 40}));
  EXPECT_EQ(team.allowed_regions, (std::vector{RegionName("north"), RegionName("east")}));
  const auto& other = policy->teams[1];
  EXPECT_FALSE(other.priority.has_value());
  EXPECT_FALSE(other.quota.is_limited());
  EXPECT_FALSE(PolicyFormat::ReadPolicy(kPolicy)->RequiresKeys());
}

// Guards against one wrong entry that keeps the rest of a configuration out of force or leaves the
// team without a restriction, and against an error that doesn't say what is wrong or shows a key.
TEST(PolicyFormat, LeavesOutATeamThatIsWrong) {
  const struct {
    std::string name, spec, error;
  } cases[] = {
      {R"("t")", R"({})", "field api_keys: missing, expected a list"},
      {R"("t")", R"({"api_keys":"secret"})", "field api_keys: string"},
      {R"("t")", R"({"api_keys":["secret",7]})", "field api_keys: entry 2 is number"},
      {R"("t")", R"({"api_keys":["secret",""]})", "entry 2 is a text of 0 bytes, expected a text"},
      {R"("t")", R"({"api_keys":["secret"],"priority":0.5})", "priority: 0.5, expected a whole"},
      {R"("t")", R"({"api_keys":["secret"],"priority":2000})",
       "2000, expected a whole number from"},
      {R"("t")", R"({"api_keys":["secret"],"rate_per_s":-1})", "field rate_per_s: -1, expected"},
      {R"("t")", R"({"api_keys":["secret"],"burst":"x"})", "field burst: \"x\", expected"},
      {R"("t")", R"({"api_keys":["secret"],"allowed_regions":["n",3]})", "allowed_regions: array"},
      {R"("t")", R"({"api_keys":["secret"],"allowed_regions":"n"})", "allowed_regions: \"n\""},
      {R"("t")", R"({"api_keys":["secret"],"allowed_regions":{}})", "allowed_regions: object"},
      {R"("t")", R"({"api_keys":["secret"],"allowed_regions":[""]})", "allowed_regions: array"},
      {R"("t\r\nX: y")", R"({"api_keys":["secret"]})", "field name: a text of 7 bytes"},
      {R"("")", R"({"api_keys":["secret"]})", "field name: a text of 0 bytes"}};
  for (const auto& one : cases) {
    const auto policy = PolicyWithTeam(one.name, one.spec);
    ASSERT_TRUE(policy.ok()) << one.spec;
    ASSERT_EQ(policy->teams.size(), 1U) << one.spec;
    EXPECT_EQ(policy->teams[0].name, TeamName("other"));
    ASSERT_EQ(policy->rejected_teams.size(), 1U) << one.spec;
    EXPECT_NE(policy->rejected_teams[0].find(one.error), std::string::npos)
        << policy->rejected_teams[0];
    EXPECT_EQ(policy->rejected_teams[0].find("secret"), std::string::npos);
    EXPECT_TRUE(policy->RequiresKeys());
  }
}

// Guards against a draining target that is used, and against a target that is used with the wrong
// number of slots.
TEST(PolicyFormat, ReadsATarget) {
  const auto ready = PolicyFormat::ReadTarget(TargetName("i-1"), TargetText("ready"));
  ASSERT_TRUE(ready.ok()) << ready.status();
  EXPECT_EQ(ready->endpoint.Text(), "10.1.0.9:8080");
  EXPECT_EQ(ready->slots, 3);
  EXPECT_FALSE(ready->draining);
  EXPECT_EQ(ready->cold_left, milliseconds(1500));
  EXPECT_EQ(ready->start_id, 1700000000001);
  EXPECT_TRUE(PolicyFormat::ReadTarget(TargetName("i-1"), TargetText("draining"))->draining);
}

// Guards against an entry of another writer that is accepted as a usable target.
TEST(PolicyFormat, RejectsInvalidTargets) {
  for (const auto& text :
       {std::string(), std::string("\xff\xfe"), TargetText("resting"), TargetText("ready", "0"),
        TargetText("ready", "\"3\""), std::string(R"({"address":"nowhere"})"), std::string("7")}) {
    EXPECT_FALSE(PolicyFormat::ReadTarget(TargetName("i-1"), text).ok()) << text;
  }
}

/// The entry of a sound target with one field replaced.
auto TargetWith(const std::string& address, const std::string& slots, const std::string& born)
    -> std::string {
  return R"({"address":)" + address + R"(,"born":)" + born +
         R"(,"info":{"service":"s","version":"v1","zone":"a","max_concurrency":)" + slots +
         R"(},"status":{"state":"ready","sequence":1,"cold_left_s":0}})";
}

// Guards against an odd entry of another writer that ends the process or is taken for a target.
TEST(PolicyFormat, RejectsOddValuesInATarget) {
  const std::string address = R"("10.1.0.9:80")";
  constexpr std::size_t kNesting = 100'000;
  constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
  const auto nested = std::string(kNesting, '[') + std::string(kNesting, ']');
  std::vector<std::string> entries = {nested,
                                      TargetWith(nested, "3", "1"),
                                      TargetWith(address, nested, "1"),
                                      TargetWith(address, "3", nested),
                                      std::string(kMegabyte, '7'),
                                      std::string(kMegabyte, '\0')};
  for (const auto* port : {"0", "65536", "99999999999999999999", "-1", "8e1", ""}) {
    entries.push_back(TargetWith(R"("10.1.0.9:)" + std::string(port) + "\"", "3", "1"));
  }
  for (const auto* number : {"1e300", "-1e300", "9223372036854775808", "1e400", "1.5", "-7",
                             "\"1\"", "null", "true", "{}"}) {
    entries.push_back(TargetWith(address, number, "1"));
    entries.push_back(TargetWith(address, "3", number));
  }
  for (const auto& entry : entries) {
    EXPECT_FALSE(PolicyFormat::ReadTarget(TargetName("i-1"), entry).ok()) << entry.substr(0, 200);
  }
  // The last of two equal keys counts.
  EXPECT_TRUE(PolicyFormat::ReadTarget(TargetName("i-1"), TargetWith(address, "3", "-0")).ok());
  EXPECT_TRUE(
      PolicyFormat::ReadTarget(TargetName("i-1"), TargetWith(address, "3", "1,\"born\":2")).ok());
}

TEST(PolicyFormat, EntryVmsRoundTrip) {
  EntryVm vm{NodeName("n"), ZoneName("a"), RegionName("r"), {"10.0.0.1", 80}};
  for (const auto& peer_endpoint : {Endpoint(), Endpoint{"10.0.0.1", 90}}) {
    vm.peer_endpoint = peer_endpoint;
    const auto read = PolicyFormat::ReadEntryVm(NodeName("n"), PolicyFormat::WriteEntryVm(vm));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(*read, vm);
  }
  EXPECT_FALSE(PolicyFormat::ReadEntryVm(NodeName("n"), "{}").ok());
}

// Guards against an announcement that earlier builds don't know, and against one of theirs that
// counts as a VM without capacity.
TEST(PolicyFormat, OnlyAnUnusualCapacityIsAnnounced) {
  EntryVm vm{NodeName("n"), ZoneName("a"), RegionName("r"), {"10.0.0.1", 80}};
  const auto usual = PolicyFormat::WriteEntryVm(vm);
  EXPECT_EQ(usual.find("weight"), std::string::npos);
  vm.weight = 0.05;
  EXPECT_EQ(PolicyFormat::ReadEntryVm(vm.name, PolicyFormat::WriteEntryVm(vm))->weight, 0.05);
  for (const auto* weight : {"0", "-1", "\"1\"", "1e9"}) {
    const auto text = usual.substr(0, usual.size() - 1) + ",\"weight\":" + weight + "}";
    EXPECT_EQ(PolicyFormat::ReadEntryVm(vm.name, text)->weight, 1) << weight;
  }
}

TEST(PolicyFormat, RecognizesKeysByPrefix) {
  EXPECT_TRUE(PolicyFormat::IsPolicyKey("op/config"));
  EXPECT_FALSE(PolicyFormat::IsPolicyKey("op/config2"));
  EXPECT_EQ(PolicyFormat::EvacuatedZone("op/evacuate/a-1"), ZoneName("a-1"));
  EXPECT_EQ(PolicyFormat::EvacuatedZone("op/evacuate/"), std::nullopt);
  EXPECT_EQ(PolicyFormat::TargetOf("servers/i-7"), TargetName("i-7"));
  EXPECT_EQ(PolicyFormat::EntryVmOf(PolicyFormat::EntryVmKey(NodeName("n"))), NodeName("n"));
  EXPECT_EQ(PolicyFormat::TargetOf("entry/n"), std::nullopt);
}

}  // namespace
}  // namespace heatherspan
