#include "gateway/forwarded_request.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

class ForwardedRequestTest : public testing::Test {
 protected:
  auto Make(RetryRule repeat, int max_attempts = 2) -> ForwardedRequest {
    ForwardedRequest::Attributes attributes;
    attributes.route.retry_rule = repeat;
    attributes.route.timeout = seconds(3);
    attributes.route.objective = milliseconds(600);
    attributes.route.max_attempts = max_attempts;
    attributes.arrived = kStart;
    attributes.caller_timeout = seconds(4);
    return ForwardedRequest(attributes);
  }
  auto End(ForwardedRequest& request, AttemptOutcome outcome, MonotonicTime now = kStart)
      -> RequestStep {
    request.OnSent(TargetName("t" + std::to_string(request.attempts())));
    return request.OnEnd(outcome, now, [this] {
      ++budget_requests_;
      return budget_;
    });
  }

  bool budget_ = true;
  int budget_requests_ = 0;
};

// Guards against a request that must run once and is sent again after it may have run.
TEST_F(ForwardedRequestTest, AtMostOnceRequestIsNotRetriedAfterPossibleRun) {
  for (const auto outcome : {AttemptOutcome::kLost, AttemptOutcome::kFailed}) {
    auto request = Make(RetryRule::kAtMostOnce);
    EXPECT_NE(End(request, outcome), RequestStep::kPlace);
  }
  auto lost = Make(RetryRule::kAtMostOnce);
  EXPECT_EQ(End(lost, AttemptOutcome::kLost), RequestStep::kFail);
  EXPECT_EQ(lost.verdict(), Verdict::kMayHaveRun);
}

// Guards against a refusal that claims "not run" after an attempt that may have run.
TEST_F(ForwardedRequestTest, LaterRefusalDoesNotResetVerdict) {
  auto request = Make(RetryRule::kIdempotent);
  EXPECT_EQ(End(request, AttemptOutcome::kLost), RequestStep::kPlace);
  budget_ = false;
  EXPECT_EQ(End(request, AttemptOutcome::kRefused), RequestStep::kFail);
  EXPECT_EQ(request.OnNoTarget(), RequestStep::kFail);
  EXPECT_EQ(request.OnDeadline(), RequestStep::kExpire);
}

// Guards against a refusal of a target that ends a request although others have room.
TEST_F(ForwardedRequestTest, NotRunRequestIsRetriedAtAnotherTarget) {
  for (const auto outcome :
       {AttemptOutcome::kRefused, AttemptOutcome::kReplaced, AttemptOutcome::kNotSent}) {
    auto request = Make(RetryRule::kAtMostOnce);
    EXPECT_EQ(End(request, outcome), RequestStep::kPlace);
    budget_ = false;
    EXPECT_EQ(End(request, AttemptOutcome::kRefused), RequestStep::kRefuse);
    EXPECT_EQ(request.verdict(), Verdict::kNotRun);
    budget_ = true;
  }
}

// Guards against connections that fail using up the budget of repeats that reach targets.
TEST_F(ForwardedRequestTest, FailedConnectionsDoNotUseRetryBudget) {
  auto request = Make(RetryRule::kAtMostOnce);
  EXPECT_EQ(End(request, AttemptOutcome::kNotSent), RequestStep::kPlace);
  EXPECT_EQ(budget_requests_, 0);
  End(request, AttemptOutcome::kRefused);
  EXPECT_EQ(budget_requests_, 1);
}

// Guards against more runs than operators allow, and against endless refusals.
TEST_F(ForwardedRequestTest, AttemptsAreBounded) {
  auto request = Make(RetryRule::kIdempotent, 2);
  EXPECT_EQ(End(request, AttemptOutcome::kLost), RequestStep::kPlace);
  EXPECT_EQ(End(request, AttemptOutcome::kLost), RequestStep::kFail);
  auto refused = Make(RetryRule::kIdempotent, 2);
  int retries = 0;
  while (End(refused, AttemptOutcome::kRefused) == RequestStep::kPlace) ++retries;
  EXPECT_EQ(retries, 3);
}

// Guards against a target's own failure answer that is thrown away.
TEST_F(ForwardedRequestTest, FailureResponseOfTargetIsDelivered) {
  auto once = Make(RetryRule::kAtMostOnce);
  EXPECT_EQ(End(once, AttemptOutcome::kFailed), RequestStep::kDeliver);
  auto again = Make(RetryRule::kIdempotent);
  EXPECT_EQ(End(again, AttemptOutcome::kFailed), RequestStep::kPlace);
  EXPECT_EQ(again.OnNoTarget(), RequestStep::kDeliver);
}

// Guards against a repeat that could only fail, and an answer that comes after the caller has left.
TEST_F(ForwardedRequestTest, DeadlineEndsRequest) {
  auto request = Make(RetryRule::kIdempotent);
  EXPECT_EQ(request.deadline(), kStart + seconds(3));
  EXPECT_EQ(End(request, AttemptOutcome::kRefused, kStart + milliseconds(2900)),
            RequestStep::kRefuse);
  EXPECT_EQ(request.OnDeadline(), RequestStep::kRefuse);
  request.OnSent(TargetName("t"));
  EXPECT_EQ(request.OnDeadline(), RequestStep::kExpire);
  EXPECT_EQ(request.verdict(), Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace heatherspan
