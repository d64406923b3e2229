#include "standins/target_model.h"

#include <gtest/gtest.h>

#include <string>

#include "nlohmann/json.hpp"
#include "standins/answer_body.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

class TargetModelTest : public testing::Test {
 protected:
  auto Begin(std::vector<HeaderField> headers = {}) -> TargetModel::Start {
    return model_.Begin({.method = "POST",
                         .target = "/approve",
                         .headers = std::move(headers),
                         .body = "b",
                         .remote = {}},
                        MonotonicTime{}, random_);
  }
  static auto RefusedAs(const TargetModel::Start& start) -> std::string {
    return start.refusal.has_value() ? std::string(start.refusal->Header("Target-Refused")) : "";
  }
  auto LoadField(const char* name) -> nlohmann::json {
    return nlohmann::json::parse(model_.Load().body).at(name);
  }

  ExecutionLog log_;
  Random random_{1};
  TargetModel model_{"ledger-1", {.service_time = milliseconds(10), .cold_requests = 2}, log_};
};

// Work beyond the slots must be refused before it starts, so that the refusal means "not run".
TEST_F(TargetModelTest, ShedsBeyondItsSlotsWithoutRunning) {
  for (int i = 0; i < 3; ++i) EXPECT_EQ(RefusedAs(Begin()), "");
  EXPECT_EQ(RefusedAs(Begin()), "shed");
  EXPECT_EQ(log_.executions().size(), 3U);
  model_.Finish(1);
  EXPECT_EQ(RefusedAs(Begin()), "");
}

TEST_F(TargetModelTest, RecordsAndAnswersTheRequest) {
  const auto start = Begin({{"Heatherspan-Request-Id", "r-1"}, {"Heatherspan-Ticket", "t-1"}});
  const auto answer = AnswerBody::Parse(model_.Finish(start.execution).body);
  EXPECT_EQ(answer, (AnswerBody{.target = "ledger-1",
                                .request_id = "r-1",
                                .ticket = "t-1",
                                .digest = RequestDigest("POST", "/approve", "b")}));
  ASSERT_EQ(log_.executions().size(), 1U);
  EXPECT_EQ(log_.executions()[0].ticket, "t-1");
  EXPECT_EQ(log_.executions()[0].state, Execution::State::kDone);
}

TEST_F(TargetModelTest, FreesTheSlotOfACancelledRequestAndKeepsItsRecord) {
  model_.Cancel(Begin().execution);
  EXPECT_EQ(model_.busy(), 0U);
  EXPECT_EQ(log_.executions()[0].state, Execution::State::kCancelled);
}

TEST_F(TargetModelTest, RefusesADeadlineThatItCannotMeet) {
  EXPECT_EQ(RefusedAs(Begin({{"Heatherspan-Deadline-Ms", "39"}})), "deadline");
  EXPECT_EQ(RefusedAs(Begin({{"Heatherspan-Deadline-Ms", "40"}})), "");
}

TEST_F(TargetModelTest, IsSlowerWhileCold) {
  EXPECT_EQ(LoadField("state"), "cold");
  EXPECT_GE(Begin().service_time, milliseconds(20));  // Mean 40 ms, spread 0.5 to 1.5.
  Begin();
  EXPECT_LE(Begin().service_time, milliseconds(15));  // Mean 10 ms.
  EXPECT_EQ(LoadField("state"), "ready");
  EXPECT_TRUE(model_.Change(R"({"cold": true})"));
  EXPECT_EQ(LoadField("state"), "cold");
}

TEST_F(TargetModelTest, FinishesRunningWorkWhileDraining) {
  const auto start = Begin();
  EXPECT_TRUE(model_.Change(R"({"draining": true})"));
  EXPECT_EQ(RefusedAs(Begin()), "draining");
  EXPECT_EQ(model_.Health().status, 503);
  EXPECT_EQ(LoadField("state"), "draining");
  EXPECT_EQ(model_.Finish(start.execution).status, 200);
}

TEST_F(TargetModelTest, ReportsAFalseLoad) {
  Begin();
  EXPECT_EQ(LoadField("busy"), 1);
  EXPECT_TRUE(model_.Change(R"({"reported_busy": 0})"));
  EXPECT_EQ(LoadField("busy"), 0);
  EXPECT_TRUE(model_.Change(R"({"reported_busy": null})"));
  EXPECT_EQ(LoadField("busy"), 1);
}

TEST_F(TargetModelTest, ChangesNothingOnAMalformedChange) {
  EXPECT_FALSE(model_.Change(R"({"slots": 9, "colour": 1})"));
  EXPECT_FALSE(model_.Change("slots"));
  EXPECT_EQ(LoadField("slots"), 3);
}

}  // namespace
}  // namespace heatherspan
