#include "gateway/carried_request.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

class CarriedRequestTest : public testing::Test {
 protected:
  auto Make(RepeatRule repeat, int max_attempts = 2) -> CarriedRequest {
    CarriedRequest::Facts facts;
    facts.route.repeat = repeat;
    facts.route.timeout = seconds(3);
    facts.route.objective = milliseconds(600);
    facts.route.max_attempts = max_attempts;
    facts.arrived = kStart;
    facts.caller_patience = seconds(4);
    return CarriedRequest(facts);
  }
  auto End(CarriedRequest& request, AttemptEnd end, MonotonicTime now = kStart) -> RequestStep {
    request.OnSent(TargetName("t" + std::to_string(request.attempts())));
    return request.OnEnd(end, now, [this] {
      ++asked_;
      return budget_;
    });
  }

  bool budget_ = true;
  int asked_ = 0;
};

// Guards against a request that must run once and is sent again after it may have run.
TEST_F(CarriedRequestTest, OnceMeansOnce) {
  for (const auto end : {AttemptEnd::kLost, AttemptEnd::kFailed}) {
    auto request = Make(RepeatRule::kAtMostOnce);
    EXPECT_NE(End(request, end), RequestStep::kPlace);
  }
  auto lost = Make(RepeatRule::kAtMostOnce);
  EXPECT_EQ(End(lost, AttemptEnd::kLost), RequestStep::kFail);
  EXPECT_EQ(lost.verdict(), Verdict::kMayHaveRun);
}

// Guards against a refusal that claims "not run" after an attempt that may have run.
TEST_F(CarriedRequestTest, ALaterRefusalTakesNothingBack) {
  auto request = Make(RepeatRule::kIdempotent);
  EXPECT_EQ(End(request, AttemptEnd::kLost), RequestStep::kPlace);
  budget_ = false;
  EXPECT_EQ(End(request, AttemptEnd::kRefused), RequestStep::kFail);
  EXPECT_EQ(request.OnNoTarget(), RequestStep::kFail);
  EXPECT_EQ(request.OnGiveUp(), RequestStep::kExpire);
}

// Guards against a refusal of a target that ends a request although others have room.
TEST_F(CarriedRequestTest, NotRunIsRepeatedElsewhere) {
  for (const auto end : {AttemptEnd::kRefused, AttemptEnd::kReplaced, AttemptEnd::kNotSent}) {
    auto request = Make(RepeatRule::kAtMostOnce);
    EXPECT_EQ(End(request, end), RequestStep::kPlace);
    budget_ = false;
    EXPECT_EQ(End(request, AttemptEnd::kRefused), RequestStep::kRefuse);
    EXPECT_EQ(request.verdict(), Verdict::kNotRun);
    budget_ = true;
  }
}

// Guards against connections that fail using up the budget of repeats that reach targets.
TEST_F(CarriedRequestTest, FailedConnectionsAreFree) {
  auto request = Make(RepeatRule::kAtMostOnce);
  EXPECT_EQ(End(request, AttemptEnd::kNotSent), RequestStep::kPlace);
  EXPECT_EQ(asked_, 0);
  End(request, AttemptEnd::kRefused);
  EXPECT_EQ(asked_, 1);
}

// Guards against more runs than operators allow, and against endless refusals.
TEST_F(CarriedRequestTest, AttemptsAreBounded) {
  auto request = Make(RepeatRule::kIdempotent, 2);
  EXPECT_EQ(End(request, AttemptEnd::kLost), RequestStep::kPlace);
  EXPECT_EQ(End(request, AttemptEnd::kLost), RequestStep::kFail);
  auto refused = Make(RepeatRule::kIdempotent, 2);
  int places = 0;
  while (End(refused, AttemptEnd::kRefused) == RequestStep::kPlace) ++places;
  EXPECT_EQ(places, 3);
}

// Guards against a target's own failure answer that is thrown away.
TEST_F(CarriedRequestTest, AFailureAnswerIsDelivered) {
  auto once = Make(RepeatRule::kAtMostOnce);
  EXPECT_EQ(End(once, AttemptEnd::kFailed), RequestStep::kDeliver);
  auto again = Make(RepeatRule::kIdempotent);
  EXPECT_EQ(End(again, AttemptEnd::kFailed), RequestStep::kPlace);
  EXPECT_EQ(again.OnNoTarget(), RequestStep::kDeliver);
}

// Guards against a repeat that could only fail, and an answer that comes after the caller has left.
TEST_F(CarriedRequestTest, TimeEndsIt) {
  auto request = Make(RepeatRule::kIdempotent);
  EXPECT_EQ(request.give_up_at(), kStart + seconds(3));
  EXPECT_EQ(End(request, AttemptEnd::kRefused, kStart + milliseconds(2900)), RequestStep::kRefuse);
  EXPECT_EQ(request.OnGiveUp(), RequestStep::kRefuse);
  request.OnSent(TargetName("t"));
  EXPECT_EQ(request.OnGiveUp(), RequestStep::kExpire);
  EXPECT_EQ(request.verdict(), Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace heatherspan
