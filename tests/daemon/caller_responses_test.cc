#include "daemon/caller_responses.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "daemon/query_parameters.h"
#include "daemon/target_report_reader.h"

namespace heatherspan {
namespace {

using testing::HasSubstr;

TEST(RefusalHttpResponse, CarriesVerdictReasonAndRetryAfter) {
  const Refusal refusal{Verdict::kNotRun, Reason::kRegionCap, std::chrono::milliseconds(250)};
  const auto response =
      RefusalHttpResponse(HttpStatusOf(refusal), RequestId("r1"), refusal, ConfigVersion(7));
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.Header("Heatherspan-Verdict"), "not-run");
  EXPECT_EQ(response.Header("Heatherspan-Reason"), "region-cap");
  EXPECT_EQ(response.Header("Heatherspan-Config-Version"), "7");
  EXPECT_EQ(response.Header("Retry-After"), "1");
  EXPECT_EQ(response.Header("Heatherspan-Retry-After-Ms"), "250");
}

// Guards against an unknown result that looks like a refusal to a caller that sees only the status.
// The caller would resubmit a request that may have run.
TEST(HttpStatusOf, DistinguishesNotRunFromMayHaveRun) {
  EXPECT_EQ(HttpStatusOf({Verdict::kNotRun, Reason::kPeerUnreachable, {}}), 503);
  EXPECT_EQ(HttpStatusOf({Verdict::kMayHaveRun, Reason::kPeerConnectionLost, {}}), 502);
  EXPECT_EQ(HttpStatusOf({Verdict::kNotRun, Reason::kTicketRequired, {}}), 428);
}

TEST(AnswerHttpResponse, RemovesHopByHopHeaders) {
  ForwardResponse forward;
  forward.verdict = Verdict::kRan;
  forward.status = 201;
  forward.headers = {{"Connection", "close"}, {"Content-Length", "3"}, {"X-Kept", "yes"}};
  const auto response = AnswerHttpResponse(RequestId("r1"), forward, ConfigVersion(1));
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.Header("Connection"), "");
  EXPECT_EQ(response.Header("X-Kept"), "yes");
  EXPECT_EQ(response.Header("Heatherspan-Verdict"), "ran");
}

TEST(LookupBody, ListsAddressesInOrder) {
  LiveNode first;
  first.caller_endpoint = {"192.0.2.1", 80};
  first.zone = ZoneName("sofia-1");
  LookupAnswer answer;
  answer.nodes[0] = &first;
  answer.count = 1;
  answer.lifetime = std::chrono::milliseconds(4500);
  EXPECT_EQ(LookupBody("ledger", answer, "t1"),
            "{\"service\":\"ledger\",\"addresses\":[{\"address\":\"192.0.2.1:80\","
            "\"zone\":\"sofia-1\"}],\"lifetime_ms\":4500,\"ticket\":\"t1\"}\n");
}

TEST(QueryParameter, FindsWholeNamesOnly) {
  EXPECT_EQ(QueryParameter("/v1/lookup?service=ledger&client=10.0.0.1", "client"), "10.0.0.1");
  EXPECT_EQ(QueryParameter("/v1/lookup?xservice=a&service=", "service"), "");
  EXPECT_EQ(QueryParameter("/v1/lookup?service", "service"), "");
  EXPECT_EQ(QueryParameter("/v1/lookup", "service"), std::nullopt);
}

TEST(ReadTargetReport, NamesTheInvalidField) {
  const TargetName name("t");
  EXPECT_TRUE(ReadTargetReport(name, R"({"slots":3,"busy":1,"state":"ready"})").ok());
  for (const auto& [body, message] : std::vector<std::pair<std::string, std::string>>{
           {"{", "not a JSON object"},
           {R"({"busy":1,"state":"ready"})", "\"slots\" is not a whole number"},
           {R"({"slots":-1,"busy":1,"state":"ready"})", "expected a number from 0 to 10000"},
           {R"({"slots":3,"busy":1,"state":"idle"})", "expected cold, ready or draining"}}) {
    EXPECT_THAT(std::string(ReadTargetReport(name, body).status().message()), HasSubstr(message));
  }
}

}  // namespace
}  // namespace heatherspan
