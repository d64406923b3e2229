#include "standins/caller_summary.h"

#include <gtest/gtest.h>

#include "nlohmann/json.hpp"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

TEST(CallerSummary, CountsOutcomesReasonsAndLatencies) {
  CallerSummary summary;
  const Operation operation{
      .service = "ledger", .method = "POST", .path = "/1", .body = "", .request_id = "r"};
  for (int i = 1; i <= 100; ++i) {
    OperationResult result;
    result.outcome = Outcome::kAnswered;
    result.duration = milliseconds(i);
    summary.Add(operation, result);
  }
  OperationResult refused;
  refused.detail = "region-cap";
  refused.refusals = {"region-cap/not-run", "region-cap/not-run"};
  refused.lost_at = {"10.0.0.1:80"};
  refused.repeats = 1;
  summary.Add(operation, refused);
  EXPECT_EQ(summary.wrong(), 0U);

  const auto json = summary.ToJson();
  const auto& ledger = json.at("services").at("ledger");
  EXPECT_EQ(ledger.at("operations"), 101);
  EXPECT_EQ(ledger.at("answered"), 100);
  EXPECT_EQ(ledger.at("refused"), 1);
  EXPECT_EQ(ledger.at("refusals").at("region-cap/not-run"), 2);
  EXPECT_EQ(ledger.at("ended").at("refused: region-cap"), 1);
  EXPECT_EQ(ledger.at("latency_ms").at("p50"), 50);
  EXPECT_EQ(ledger.at("latency_ms").at("p99"), 99);
  EXPECT_EQ(ledger.at("latency_ms").at("max"), 100);
  EXPECT_EQ(json.at("lost_at").at("10.0.0.1:80"), 1);
}

}  // namespace
}  // namespace heatherspan
