#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "base/random.h"
#include "platform/policy_format.h"
#include "platform/request_format.h"
#include "platform/store_client.h"

namespace heatherspan {
namespace {

constexpr int kRounds = 4000;
constexpr std::uint64_t kSeed = 20261204;

constexpr const char* kTarget =
    R"({"address":"10.1.0.9:8749","born":1700000000000,"info":{"service":"s","version":"v1",)"
    R"("zone":"a","max_concurrency":3},"status":{"state":"ready","sequence":7,"cold_left_s":1.5}})";

constexpr const char* kPolicy =
    R"({"version":"r12","resources":[{"type":"limits","metadata":{"name":"l"},"spec":)"
    R"({"header_bytes":8192,"max_body_bytes":65536,"header_timeout_s":5,"idle_timeout_s":20}},)"
    R"({"type":"services","metadata":{"name":"s"},"spec":{"health_path":"/h","max_conns":60,)"
    R"("cold_s":3,"cold_per_s":3.7}},{"type":"routes","metadata":{"name":"read"},"spec":)"
    R"({"host":"h.example","path_prefix":"/r/","kind":"safe","timeout_s":1.5,"latency_slo_s":0.4,)"
    R"("priority":2,"max_attempts":2,"session_affinity":true,"allowed_regions":["east"],)"
    R"("split":[{"service":"s","weight":0.25},{"service":"t","weight":0.75}]}},)"
    R"({"type":"tenants","metadata":{"name":"blue"},"spec":{"api_keys":["k1","k2"],"priority":1,)"
    R"("rate_per_s":5.5,"burst":9,"allowed_regions":["east"]}}]})";

/// Changes bytes, repeats or removes a part of the text, or inserts an invalid or extreme value.
class Mutator {
 public:
  auto Mutate(std::string text) -> std::string {
    for (int changes = Below(4) + 1; changes > 0; --changes) text = MutateOnce(std::move(text));
    return text;
  }
  auto Below(std::size_t bound) -> int {
    return static_cast<int>(std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_));
  }

 private:
  auto MutateOnce(std::string text) -> std::string {
    static const std::vector<std::string> fragments = {"1e300",     "-1",
                                                       "1e18",      "18446744073709551616",
                                                       "null",      "[]",
                                                       "{}",        "\"\"",
                                                       "\xff\xfe",  std::string(1, '\0'),
                                                       "0.0000001", "true",
                                                       "\"ready\"", "[[[[[[[[",
                                                       "%",         "\r\n"};
    if (text.empty()) return "x";
    const auto at = static_cast<std::size_t>(Below(text.size()));
    const auto length =
        static_cast<std::size_t>(Below(std::min<std::size_t>(text.size() - at, 30)));
    switch (Below(5)) {
      case 0:
        text[at] = static_cast<char>(Below(256));
        return text;
      case 1:
        return text.erase(at, length);
      case 2:
        return text.insert(at, text.substr(at, length));
      case 3:
        return text.insert(at, fragments[static_cast<std::size_t>(Below(fragments.size()))]);
      default:
        return ReplaceNumber(std::move(text), at,
                             fragments[static_cast<std::size_t>(Below(fragments.size()))]);
    }
  }

  /// Replaces the next number after `at` by the fragment.
  static auto ReplaceNumber(std::string text, std::size_t at, const std::string& fragment)
      -> std::string {
    constexpr const char* kDigits = "0123456789.";
    const auto begin = text.find_first_of(kDigits, at);
    if (begin == std::string::npos) return text;
    const auto end = std::min(text.find_first_not_of(kDigits, begin), text.size());
    return text.replace(begin, end - begin, fragment);
  }

  Random random_{kSeed};
};

// Guards against an entry of another writer that is accepted as a target with values out of range,
// and against a crash of the decoder on such an entry.
TEST(DecoderFuzz, AcceptsOnlyTargetsWithinBounds) {
  Mutator mutator;
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto text = mutator.Mutate(kTarget);
    const auto target = PolicyFormat::ReadTarget(TargetName("i-1"), text);
    if (!target.ok()) continue;
    ++accepted;
    EXPECT_GE(target->slots, 1) << text;
    EXPECT_LE(target->slots, 100'000) << text;
    EXPECT_GE(target->cold_left.count(), 0) << text;
    EXPECT_FALSE(target->service.value().empty()) << text;
    EXPECT_FALSE(target->zone.value().empty()) << text;
    EXPECT_NE(target->endpoint.port, 0) << text;
  }
  EXPECT_GT(accepted, kRounds / 20);
}

// Guards against a configuration that is accepted with values out of range, and against a crash of
// the decoder.
TEST(DecoderFuzz, AcceptsOnlyConfigurationsWithinBounds) {
  Mutator mutator;
  int accepted = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto text = mutator.Mutate(kPolicy);
    const auto policy = PolicyFormat::ReadPolicy(text);
    if (!policy.ok()) continue;
    ++accepted;
    for (const auto& route : policy->routes) {
      EXPECT_GE(route.max_attempts, 1) << text;
      EXPECT_LE(route.max_attempts, 1000) << text;
      EXPECT_GE(route.priority, 0) << text;
      EXPECT_GE(route.timeout.count(), 0) << text;
      EXPECT_FALSE(route.weighted_services.empty()) << text;
      for (const auto& share : route.weighted_services) EXPECT_GT(share.weight, 0) << text;
    }
    for (const auto& service : policy->services) {
      EXPECT_GE(service.max_connections, 1) << text;
      EXPECT_GE(service.cold_requests_per_second, 0) << text;
    }
    for (const auto& team : policy->teams) {
      EXPECT_GE(team.quota.rate.value(), 0) << text;
      EXPECT_GE(team.quota.burst, 0) << text;
      EXPECT_GE(team.priority.value_or(0), 0) << text;
      EXPECT_EQ(team.name.value().find_first_of("\r\n "), std::string::npos) << text;
    }
  }
  EXPECT_GT(accepted, kRounds / 20);
}

// Guards against a header field of a caller or target that crashes a decoder or reads as a value
// out of range.
TEST(DecoderFuzz, ReadsArbitraryHeaderFieldsWithinBounds) {
  Mutator mutator;
  for (int i = 0; i < kRounds; ++i) {
    HttpRequest request;
    request.target = mutator.Mutate("/heatherspan/resolve?name=h.example&region=east&zone=east-a");
    request.headers = {{"Host", mutator.Mutate("h.example")},
                       {"Heatherspan-Request-Id", mutator.Mutate("9c41d07be2a35f68")},
                       {"Heatherspan-Deadline-Ms", mutator.Mutate("2500")},
                       {"Cookie", mutator.Mutate("a=b; Heatherspan-Affinity-Key=17")}};
    const auto fields = RequestFormat::ReadCaller(request);
    if (fields.caller_timeout.has_value()) {
      EXPECT_GE(fields.caller_timeout->count(), 0);
      EXPECT_LE(*fields.caller_timeout, std::chrono::hours(24));
    }
    RequestFormat::ReadDirectoryQuery(request);

    HttpResult result;
    result.progress = SendProgress::kCompleted;
    result.response.headers = {{"Heatherspan-Backend-Load", mutator.Mutate("3,0,8")},
                               {"Heatherspan-Cold-Ms", mutator.Mutate("1500")},
                               {"Heatherspan-Response-Signature", mutator.Mutate("sig")}};
    const auto reply = RequestFormat::ReadReply(result);
    if (reply.load.has_value()) {
      EXPECT_GE(reply.load->running, 0);
      EXPECT_GE(reply.load->waiting, 0);
      EXPECT_GE(reply.load->slots, 0);
    }
    EXPECT_GE(RequestFormat::ReadHealth(result.response).cold_left.count(), 0);
    EXPECT_LE(RequestFormat::ReadHealth(result.response).cold_left, std::chrono::hours(24));
  }
}

// Guards against a peer's question that crashes a node, or that is read as a question for changes
// with a revision which it doesn't state.
TEST(DecoderFuzz, ReadsArbitraryQuestionsOfPeers) {
  Mutator mutator;
  int read = 0;
  for (int i = 0; i < kRounds; ++i) {
    HttpRequest request;
    request.target = mutator.Mutate("/heatherspan/kv-watch?path_prefix=&after=41&wait_ms=0");
    const auto position = StoreClient::WatchedPosition(request);
    if (!position.has_value()) continue;
    ++read;
    EXPECT_NE(request.target.find("after=" + std::to_string(position->revision).substr(0, 1)),
              std::string::npos)
        << request.target;
  }
  EXPECT_GT(read, kRounds / 20);
}

}  // namespace
}  // namespace heatherspan
