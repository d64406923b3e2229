#include "gateway/forwarded_request.h"

#include <gtest/gtest.h>

#include <tuple>

#include "gateway/stop_plan.h"

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

// Guards against a retry of an at-most-once request after an attempt that may have run.
TEST_F(ForwardedRequestTest, AtMostOnceRequestIsNotRetriedAfterPossibleRun) {
  for (const auto outcome : {AttemptOutcome::kLost, AttemptOutcome::kFailed}) {
    auto request = Make(RetryRule::kAtMostOnce);
    EXPECT_NE(End(request, outcome), RequestStep::kPlace);
  }
  auto lost = Make(RetryRule::kAtMostOnce);
  EXPECT_EQ(End(lost, AttemptOutcome::kLost), RequestStep::kFail);
  EXPECT_EQ(lost.verdict(), Verdict::kMayHaveRun);
}

// Guards against a retry that one of several configurations forbids, whichever comes first.
TEST_F(ForwardedRequestTest, TheStrictestRetryRuleHolds) {
  for (const auto& [admitted, later, step] :
       {std::tuple{RetryRule::kIdempotent, RetryRule::kAtMostOnce, RequestStep::kFail},
        std::tuple{RetryRule::kAtMostOnce, RetryRule::kIdempotent, RequestStep::kFail},
        std::tuple{RetryRule::kIdempotent, RetryRule::kIdempotent, RequestStep::kPlace}}) {
    auto request = Make(admitted);
    request.Restrict(later);
    request.Restrict(RetryRule::kIdempotent);
    EXPECT_EQ(End(request, AttemptOutcome::kLost), step);
  }
}

// Guards against a refusal that reports "not run" after an earlier attempt that may have run.
TEST_F(ForwardedRequestTest, LaterRefusalDoesNotResetVerdict) {
  auto request = Make(RetryRule::kIdempotent);
  EXPECT_EQ(End(request, AttemptOutcome::kLost), RequestStep::kPlace);
  budget_ = false;
  EXPECT_EQ(End(request, AttemptOutcome::kRefused), RequestStep::kFail);
  EXPECT_EQ(request.OnNoTarget(), RequestStep::kFail);
  EXPECT_EQ(request.OnDeadline(), RequestStep::kExpire);
}

// Guards against a target's refusal that ends a request although other targets have free capacity.
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

// Guards against failed connections that use up the retry budget, which is meant for retries that
// reach targets.
TEST_F(ForwardedRequestTest, FailedConnectionsDoNotUseRetryBudget) {
  auto request = Make(RetryRule::kAtMostOnce);
  EXPECT_EQ(End(request, AttemptOutcome::kNotSent), RequestStep::kPlace);
  EXPECT_EQ(budget_requests_, 0);
  End(request, AttemptOutcome::kRefused);
  EXPECT_EQ(budget_requests_, 1);
}

// Guards against more runs than operators allow, and against an endless sequence of refusals.
TEST_F(ForwardedRequestTest, AttemptsAreBounded) {
  auto request = Make(RetryRule::kIdempotent, 2);
  EXPECT_EQ(End(request, AttemptOutcome::kLost), RequestStep::kPlace);
  EXPECT_EQ(End(request, AttemptOutcome::kLost), RequestStep::kFail);
  auto refused = Make(RetryRule::kIdempotent, 2);
  int retries = 0;
  while (End(refused, AttemptOutcome::kRefused) == RequestStep::kPlace) ++retries;
  EXPECT_EQ(retries, 3);
}

// Guards against a target's failure response that is discarded.
TEST_F(ForwardedRequestTest, FailureResponseOfTargetIsDelivered) {
  auto at_most_once = Make(RetryRule::kAtMostOnce);
  EXPECT_EQ(End(at_most_once, AttemptOutcome::kFailed), RequestStep::kDeliver);
  auto idempotent = Make(RetryRule::kIdempotent);
  EXPECT_EQ(End(idempotent, AttemptOutcome::kFailed), RequestStep::kPlace);
  EXPECT_EQ(idempotent.OnNoTarget(), RequestStep::kDeliver);
}

// Guards against a retry without enough time to succeed, and against a response after the caller
// timeout.
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

// Guards against requests that are accepted long after the announcement of a stop and broken off at
// its end, because they take longer than predicted.
TEST(StopPlan, LongGracesDoNotProlongTheTimeOfNewRequests) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  EXPECT_EQ(StopPlan::For(seconds(6)).serve, milliseconds(2400));
  EXPECT_EQ(StopPlan::For(seconds(6)).complete, milliseconds(5400));
  EXPECT_EQ(StopPlan::For(seconds(10)).serve, StopPlan::kMaxServe);
  EXPECT_EQ(StopPlan::For(seconds(60)).serve, StopPlan::kMaxServe);
}

}  // namespace
}  // namespace heatherspan
