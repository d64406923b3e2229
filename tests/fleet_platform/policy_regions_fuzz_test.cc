#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <iterator>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "gateway/route_table.h"
#include "platform/json.h"
#include "platform/policy_format.h"

namespace heatherspan {
namespace {

using platform_json::Json;

constexpr int kRounds = 10'000;
constexpr std::uint64_t kSeed = 20261207;

constexpr const char* kPolicy = R"({"version":"r3","resources":[
 {"type":"routes","metadata":{"name":"outer"},"spec":{"host":"h.example","path_prefix":"/a/","kind":"safe",
  "timeout_s":3,"latency_slo_s":1,"service":"s"}},
 {"type":"routes","metadata":{"name":"inner"},"spec":{"host":"h.example","path_prefix":"/a/b/","kind":"unsafe",
  "timeout_s":3,"latency_slo_s":1,"service":"s","allowed_regions":["east","north"]}},
 {"type":"routes","metadata":{"name":"other"},"spec":{"host":"H.example:80","path_prefix":"/c/","kind":"safe",
  "timeout_s":3,"latency_slo_s":1,"service":"s","allowed_regions":["west"]}}]})";

auto OddValues() -> std::vector<Json> {
  constexpr int kNesting = 1000;
  Json nested = Json::array();
  for (int i = 0; i < kNesting; ++i) nested = Json::array({std::move(nested)});
  return {nullptr,
          true,
          7,
          -1,
          1e300,
          "",
          "east",
          "/a/",
          "/a",
          Json::object(),
          "h.example",
          nested,
          "/a/?b=/",
          Json::array(),
          Json::array({7}),
          Json::array({"east", nullptr}),
          Json::array({""}),
          Json::array({"east"})};
}

auto Collect(Json& node, std::vector<Json*>& nodes) -> void {
  if (!node.is_structured()) return;
  for (auto& part : node) {
    nodes.push_back(&part);
    Collect(part, nodes);
  }
}

/// Changes values, removes them and writes them twice.
auto Mutate(Json document, Random& random) -> Json {
  static const auto odd_values = OddValues();
  const auto below = [&](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  };
  for (auto changes = below(3) + 1; changes > 0; --changes) {
    std::vector<Json*> nodes;
    Collect(document, nodes);
    if (nodes.empty()) return document;
    auto& node = *nodes[below(nodes.size())];
    if (!node.is_structured() || node.empty() || below(2) == 0) {
      node = odd_values[below(odd_values.size())];
    } else if (node.is_array() && below(2) == 0) {
      node.push_back(Json(node[below(node.size())]));
    } else {
      node.erase(std::next(node.begin(), static_cast<std::ptrdiff_t>(below(node.size()))));
    }
  }
  return document;
}

/// Checks the policy against each route as it is written.
auto ExpectRegionsAsWritten(const Json& document, const TrafficPolicy& policy) -> void {
  const RouteTable table(policy.routes);
  std::size_t count = 0;
  for (const auto& resource : document.at("resources")) {
    if (resource.at("type") != "routes") continue;
    ++count;
    const auto& spec = resource.at("spec");
    const auto* route = table.Find(spec.at("host").get<std::string>(),
                                   spec.at("path_prefix").get<std::string>() + "x");
    ASSERT_NE(route, nullptr);
    std::set<Json> regions;
    for (const auto& region : route->allowed_regions) regions.insert(region.value());
    const auto* list = platform_json::Field(spec, "allowed_regions");
    const bool is_absent = list == nullptr || list->is_null();
    ASSERT_TRUE(is_absent || list->is_array());
    EXPECT_EQ(regions, is_absent ? std::set<Json>() : list->get<std::set<Json>>());
  }
  EXPECT_EQ(policy.routes.size(), count);
}

// Guards against a document that allows a request in more regions than it names, because a part of
// it can't be read.
TEST(PolicyRegionsFuzz, NoRouteHasFewerRestrictionsThanWritten) {
  Random random(kSeed);
  const auto valid = Json::parse(kPolicy);
  int accepted = 0;
  for (int i = 0; i < kRounds && !HasFailure(); ++i) {
    const auto document = Mutate(valid, random);
    const auto text = document.dump();
    SCOPED_TRACE(text.substr(0, 1500));
    const auto policy = PolicyFormat::ReadPolicy(text);
    if (policy.ok()) {
      ++accepted;
      ExpectRegionsAsWritten(document, *policy);
    } else {
      EXPECT_THAT(std::string(policy.status().message()),
                  testing::ContainsRegex("^invalid .*: field [a-z_]+: .+, expected .+"));
    }
  }
  EXPECT_GT(accepted, kRounds / 20);
}

}  // namespace
}  // namespace heatherspan
