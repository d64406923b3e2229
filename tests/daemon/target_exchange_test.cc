#include "daemon/target_exchange.h"

#include <gtest/gtest.h>

#include "absl/status/status.h"
#include "daemon/forward_results.h"
#include "daemon/peer_calls.h"

namespace heatherspan {
namespace {

struct ExchangeCase {
  const char* name;
  absl::Status status;
  SendProgress progress;
  int http_status;
  const char* target_refused;
  Verdict verdict;
  Reason reason;
  bool may_be_copy = false;
};

auto Interpret(const ExchangeCase& test) -> ExchangeResult {
  HttpResult result;
  result.status = test.status;
  result.progress = test.progress;
  result.response.status = test.http_status;
  result.may_be_copy = test.may_be_copy;
  if (*test.target_refused != '\0') {
    result.response.headers.push_back({"Target-Refused", test.target_refused});
  }
  return InterpretExchange(std::move(result));
}

// Guards against the verdict "not run" for a request that may have run, which would let a booking
// run twice. The verdict is correct only if nothing was written or the target itself refused.
TEST(InterpretExchange, YieldsNotRunOnlyIfTheRequestCannotHaveRun) {
  const auto lost = absl::UnavailableError("connection closed");
  const std::vector<ExchangeCase> cases = {
      {"answer", absl::OkStatus(), SendProgress::kCompleted, 200, "", Verdict::kRan, Reason::kNone},
      {"error of the target", absl::OkStatus(), SendProgress::kCompleted, 500, "", Verdict::kRan,
       Reason::kNone},
      {"503 of unknown origin", absl::OkStatus(), SendProgress::kCompleted, 503, "", Verdict::kRan,
       Reason::kNone},
      {"503 with unknown refusal", absl::OkStatus(), SendProgress::kCompleted, 503, "maybe",
       Verdict::kRan, Reason::kNone},
      {"shed", absl::OkStatus(), SendProgress::kCompleted, 503, "shed", Verdict::kNotRun,
       Reason::kTargetRefused},
      {"draining", absl::OkStatus(), SendProgress::kCompleted, 503, "draining", Verdict::kNotRun,
       Reason::kTargetRefused},
      {"shed that may answer an earlier request", absl::OkStatus(), SendProgress::kCompleted, 503,
       "shed", Verdict::kMayHaveRun, Reason::kTargetRefused, true},
      {"shed without 503", absl::OkStatus(), SendProgress::kCompleted, 200, "shed", Verdict::kRan,
       Reason::kNone},
      {"no connection", lost, SendProgress::kNothingWritten, 0, "", Verdict::kNotRun,
       Reason::kTargetConnect},
      {"timeout while connecting", absl::DeadlineExceededError("timeout"),
       SendProgress::kNothingWritten, 0, "", Verdict::kNotRun, Reason::kTargetConnect},
      {"connection lost", lost, SendProgress::kWritten, 0, "", Verdict::kMayHaveRun,
       Reason::kTargetConnectionLost},
      {"truncated", absl::DataLossError("truncated"), SendProgress::kWritten, 200, "",
       Verdict::kMayHaveRun, Reason::kTruncatedResponse},
      {"timeout", absl::DeadlineExceededError("timeout"), SendProgress::kWritten, 0, "",
       Verdict::kMayHaveRun, Reason::kTargetTimeout},
  };
  for (const auto& test : cases) {
    const auto result = Interpret(test);
    EXPECT_EQ(result.response.verdict, test.verdict) << test.name;
    EXPECT_EQ(result.response.reason, test.reason) << test.name;
  }
}

TEST(InterpretForwardResult, YieldsMayHaveRunForALostConnection) {
  PeerResult result;
  result.status = absl::UnavailableError("closed");
  result.progress = SendProgress::kWritten;
  EXPECT_EQ(InterpretForwardResult(result).verdict, Verdict::kMayHaveRun);
  result.progress = SendProgress::kNothingWritten;
  EXPECT_EQ(InterpretForwardResult(result).verdict, Verdict::kNotRun);
}

// Guards against a message of an unexpected type that counts as a success.
TEST(InterpretForwardResult, YieldsMayHaveRunForAnUnexpectedMessageType) {
  PeerResult result;
  result.progress = SendProgress::kCompleted;
  result.response = ManifestResponse{};
  EXPECT_EQ(InterpretForwardResult(result).verdict, Verdict::kMayHaveRun);
}

TEST(IsRetryable, IsFalseForNonIdempotentRequestsThatMayHaveRun) {
  const auto unknown = RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kPeerConnectionLost);
  EXPECT_FALSE(IsRetryable(unknown, /*idempotent=*/false));
  EXPECT_TRUE(IsRetryable(unknown, /*idempotent=*/true));
  const auto refused = RefusalForwardResponse(Verdict::kNotRun, Reason::kTargetRefused);
  EXPECT_TRUE(IsRetryable(refused, /*idempotent=*/false));
  EXPECT_FALSE(IsRetryable(RefusalForwardResponse(Verdict::kNotRun, Reason::kDeadline), true));
}

TEST(MakeForwardRequest, CarriesTheRemainingTime) {
  const MonotonicTime now(std::chrono::seconds(100));
  RoutedRequest request;
  request.deadline = now + std::chrono::milliseconds(1500);
  request.client_region = RegionName("sofia");
  const auto message = MakeForwardRequest(request, now + std::chrono::milliseconds(500));
  EXPECT_EQ(message.deadline_ms, 1000U);
  const MonotonicTime elsewhere(std::chrono::seconds(5));
  const auto received = MakeRoutedRequest(message, false, elsewhere);
  EXPECT_EQ(received.deadline, elsewhere + std::chrono::milliseconds(1000));
  EXPECT_EQ(received.client_region, RegionName("sofia"));
  EXPECT_EQ(MakeForwardRequest(request, now + std::chrono::seconds(3)).deadline_ms, 0U);
}

}  // namespace
}  // namespace heatherspan
