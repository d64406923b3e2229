#include "platform/request_format.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto CallerRequest() -> HttpRequest {
  HttpRequest request;
  request.method = "PUT";
  request.target = "/a/b?c=d";
  request.headers = {{"Host", "h.example"},
                     {"Heatherspan-Request-Id", "id-1"},
                     {"Heatherspan-Deadline-Ms", "2500"},
                     {"Cookie", "x=1; Heatherspan-Affinity-Key=17; y=2"},
                     {"Connection", "keep-alive, X-Hop"},
                     {"X-Hop", "1"},
                     {"X-End", "2"},
                     {"Transfer-Encoding", "chunked"}};
  request.body = "body";
  return request;
}

auto Answered(int status, std::vector<HeaderField> headers) -> HttpResult {
  HttpResult result;
  result.progress = SendProgress::kCompleted;
  result.response.status = status;
  result.response.headers = std::move(headers);
  return result;
}

TEST(RequestFormat, ReadsTheFieldsOfACaller) {
  const auto fields = RequestFormat::ReadCaller(CallerRequest());
  EXPECT_EQ(fields.id, RequestId("id-1"));
  EXPECT_EQ(fields.host, "h.example");
  EXPECT_EQ(fields.caller_timeout, milliseconds(2500));
  EXPECT_EQ(fields.object, "17");
  HttpRequest odd;
  odd.headers = {{"Heatherspan-Deadline-Ms", "soon"}};
  EXPECT_EQ(RequestFormat::ReadCaller(odd).caller_timeout, std::nullopt);
  EXPECT_EQ(RequestFormat::ReadCaller(odd).object, "");
}

// Guards against a target that processes a request other than the caller's, a request for another
// target, or a request for longer than the caller waits.
TEST(RequestFormat, ForwardsTheRequestWithTimeLeftAndExpectedInstance) {
  RegisteredTarget target;
  target.name = TargetName("i-7");
  const auto sent =
      RequestFormat::ForTarget(CallerRequest(), target, std::nullopt, milliseconds(1200));
  EXPECT_EQ(sent.method, "PUT");
  EXPECT_EQ(sent.target, "/a/b?c=d");
  EXPECT_EQ(sent.body, "body");
  EXPECT_EQ(sent.Header("Host"), "h.example");
  EXPECT_EQ(sent.Header("Heatherspan-Request-Id"), "id-1");
  EXPECT_EQ(sent.Header("Heatherspan-Deadline-Ms"), "1200");
  EXPECT_EQ(sent.Header("Heatherspan-Expected-Instance"), "i-7");
  EXPECT_EQ(sent.Header("X-End"), "2");
  EXPECT_EQ(sent.Header("X-Hop"), "");
  EXPECT_EQ(sent.Header("Connection"), "");
}

// Guards against a request that counts as another caller's: one that ends targets would be refused
// to all.
TEST(RequestFormat, DigestsTellCallersApart) {
  auto request = CallerRequest();
  const auto without_key = RequestFormat::DigestOf(request, "k");
  request.headers.push_back({"Api-Key", "one"});
  const auto one = RequestFormat::DigestOf(request, "k");
  request.headers.back().value = "other";
  EXPECT_NE(one, without_key);
  EXPECT_NE(one, RequestFormat::DigestOf(request, "k"));
}

// Guards against a wrong verdict: the verdict is "not run" only if the target says so or if nothing
// was sent.
TEST(RequestFormat, ReadsTheOutcomeOfAnAttempt) {
  const HeaderField signature{"Heatherspan-Response-Signature", "s"};
  const auto outcome = [](const HttpResult& result) {
    return RequestFormat::ReadReply(result).end;
  };
  EXPECT_EQ(outcome(Answered(200, {signature})), AttemptOutcome::kSucceeded);
  EXPECT_EQ(outcome(Answered(404, {signature})), AttemptOutcome::kSucceeded);
  EXPECT_EQ(outcome(Answered(200, {})), AttemptOutcome::kLost);
  EXPECT_EQ(outcome(Answered(500, {signature})), AttemptOutcome::kFailed);
  EXPECT_EQ(outcome(Answered(503, {})), AttemptOutcome::kFailed);
  EXPECT_EQ(outcome(Answered(503, {{"Heatherspan-Not-Executed", "1"}})), AttemptOutcome::kRefused);
  EXPECT_EQ(outcome(Answered(421, {})), AttemptOutcome::kReplaced);
  for (const int promising : {408, 421, 429, 503}) {
    const HeaderField not_executed{"Heatherspan-Not-Executed", "1"};
    EXPECT_EQ(outcome(Answered(promising, {signature})), AttemptOutcome::kFailed) << promising;
    EXPECT_EQ(VerdictOf(outcome(Answered(promising, {signature, not_executed}))), Verdict::kNotRun)
        << promising;
  }
  HttpResult failed;
  failed.status = absl::UnavailableError("reset");
  EXPECT_EQ(outcome(failed), AttemptOutcome::kNotSent);
  failed.progress = SendProgress::kWritten;
  EXPECT_EQ(outcome(failed), AttemptOutcome::kLost);
}

// Guards against a wrong verdict of another entry VM: a signed answer, or one that reports success,
// is of a request that has run.
TEST(RequestFormat, ReadsTheOutcomeOfARelayedRequest) {
  const HeaderField signature{"Heatherspan-Response-Signature", "s"};
  const auto outcome = [](int status, const std::string& verdict,
                          std::vector<HeaderField> headers = {}) {
    headers.push_back({"Heatherspan-Relay-Verdict", verdict});
    auto result = Answered(status, std::move(headers));
    return RequestFormat::ReadRelayed(result).end;
  };
  for (const int status : {400, 404, 502, 503}) {
    EXPECT_EQ(outcome(status, "not-run"),
              status == 404 ? AttemptOutcome::kNotSent : AttemptOutcome::kRefused);
    EXPECT_EQ(outcome(status, "out-of-reach"), AttemptOutcome::kNotSent) << status;
    for (const auto* text : {"not-run", "out-of-reach", "may-have-run", "unknown"}) {
      EXPECT_EQ(outcome(status, text, {signature}), AttemptOutcome::kLost) << status << text;
      EXPECT_EQ(outcome(200, text), AttemptOutcome::kLost) << text;
    }
  }
  EXPECT_EQ(outcome(200, "ran", {signature}), AttemptOutcome::kSucceeded);
  EXPECT_EQ(outcome(404, "ran", {signature}), AttemptOutcome::kSucceeded);
  for (const int status : {408, 421, 429, 500, 503}) {
    EXPECT_EQ(outcome(status, "ran", {signature}), AttemptOutcome::kFailed) << status;
  }
}

// Guards against a request that runs twice because its VM does not tell the next one that it must
// run once or may have run, or because a caller claims the contrary.
TEST(RequestFormat, PassesOnWhatIsKnownOfARequest) {
  auto request = CallerRequest();
  request.headers.push_back({"Heatherspan-Relay-Retry-Rule", "idempotent"});
  request.headers.push_back({"heatherspan-relay-verdict", "not-run"});
  request.headers.push_back({"Heatherspan-Relay-Arrivals", "0"});
  for (const auto rule : {RetryRule::kIdempotent, RetryRule::kAtMostOnce}) {
    for (const auto verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
      const auto relayed = RequestFormat::RelayedRequest(
          RequestFormat::ForRelay(request, {rule, verdict, 2}, milliseconds(1200)));
      ASSERT_TRUE(relayed.has_value());
      EXPECT_EQ(relayed->terms.retry_rule, rule);
      EXPECT_EQ(relayed->terms.verdict, verdict);
      EXPECT_EQ(relayed->terms.arrivals, 2);
      EXPECT_EQ(relayed->request.target, request.target);
      EXPECT_EQ(relayed->request.Header("Heatherspan-Deadline-Ms"), "1200");
      EXPECT_EQ(relayed->request.Header("Heatherspan-Relay-Retry-Rule"), "");
      EXPECT_EQ(relayed->request.Header("Heatherspan-Relay-Verdict"), "");
      EXPECT_EQ(relayed->request.Header("Heatherspan-Relay-Arrivals"), "");
    }
  }
  // An earlier build.
  request = CallerRequest();
  request.target = "/heatherspan/relay/a";
  EXPECT_EQ(RequestFormat::RelayedRequest(request)->terms.retry_rule, RetryRule::kAtMostOnce);
  EXPECT_EQ(RequestFormat::RelayedRequest(request)->terms.verdict, Verdict::kNotRun);
  EXPECT_EQ(RequestFormat::RelayedRequest(request)->terms.arrivals, std::nullopt);
}

// Guards against a request that runs outside its homes or by an older configuration because the VM
// that it is passed on to is told of others, or because a caller claims them.
TEST(RequestFormat, PassesOnConfigurationAndHomes) {
  auto request = CallerRequest();
  request.headers.push_back({"Heatherspan-Relay-Config", "9"});
  request.headers.push_back({"Heatherspan-Relay-Homes", "z"});
  RelayTerms terms;
  terms.config = ConfigVersion(4);
  for (const std::vector<RegionName>& homes :
       {std::vector<RegionName>(), {RegionName("a,b"), RegionName("c d")}}) {
    terms.homes = homes;
    const auto relayed =
        RequestFormat::RelayedRequest(RequestFormat::ForRelay(request, terms, milliseconds(9)));
    ASSERT_TRUE(relayed.has_value());
    EXPECT_EQ(relayed->terms.config, ConfigVersion(4));
    EXPECT_EQ(relayed->terms.homes, homes);
    EXPECT_EQ(relayed->request.Header("Heatherspan-Relay-Config"), "");
    EXPECT_EQ(relayed->request.Header("Heatherspan-Relay-Homes"), "");
  }
  // An earlier build.
  request = CallerRequest();
  request.target = "/heatherspan/relay/a";
  EXPECT_EQ(RequestFormat::RelayedRequest(request)->terms.config, ConfigVersion());
  EXPECT_TRUE(RequestFormat::RelayedRequest(request)->terms.homes.empty());
}

// Guards against retries that exceed the budget because a VM doesn't learn how often another one
// has sent its request to targets.
TEST(RequestFormat, TellsHowOftenARelayedRequestHasArrived) {
  HttpResult result = Answered(503, {});
  RequestFormat::AddRelayVerdict(RequestId("id"), Verdict::kNotRun, 2, false, result.response);
  const auto reply = RequestFormat::ReadRelayed(result);
  EXPECT_EQ(reply.end, AttemptOutcome::kNotSent);
  EXPECT_EQ(reply.arrivals, 2);
  EXPECT_EQ(result.response.Header("Heatherspan-Relay-Arrivals"), "");
}

TEST(RequestFormat, ReadsLoad) {
  const auto load = [](const std::string& text) {
    return RequestFormat::ReadReply(Answered(200, {{"Heatherspan-Backend-Load", text}})).load;
  };
  ASSERT_TRUE(load("3,1, 8").has_value());
  EXPECT_EQ(load("3,1,8")->waiting, 1);
  EXPECT_EQ(load("3,1,8")->slowdown, 1);
  EXPECT_EQ(load("3,1,8,250")->slowdown, 2.5);
  for (const auto* text :
       {"", "3", "3,1", "a,b,c", "1,2,3,0", "1,2,3,-5", "1,2,3,x", "1,2,3,nan", "1,2,3,100,5"}) {
    EXPECT_FALSE(load(text).has_value()) << text;
  }
}

// Guards against a limit that is overlooked, and against one that is made up from malformed text.
TEST(RequestFormat, ReadsTheLimitOfATarget) {
  const auto limit = [](const std::string& name, const std::string& text) {
    return RequestFormat::ReadReply(Answered(200, {{name, text}})).limit;
  };
  EXPECT_EQ(limit("Server-Limit", "2.6"), RequestsPerSecond(2.6));
  EXPECT_EQ(limit("server-limit", " 1 "), RequestsPerSecond(1));
  EXPECT_EQ(limit("Heatherspan-Server-Limit", "0"), RequestsPerSecond(0));
  for (const auto* text : {"", "-1", "nan", "inf", "two", "2,6", "1e999"}) {
    EXPECT_FALSE(limit("Server-Limit", text).has_value()) << text;
  }
}

// Guards against a notice that is missed in an answer that fails or breaks off, and against a value
// that passes for one.
TEST(RequestFormat, ReadsThatATargetLeaves) {
  HttpResult result;
  result.progress = SendProgress::kCompleted;
  const auto notices = [&](const std::string& name, const std::string& value) {
    result.response.headers = {{name, value}};
    return RequestFormat::ReadReply(result).notices;
  };
  for (const int status : {200, 429, 500, 503}) {
    result.response.status = status;
    EXPECT_TRUE(notices("Server-Leaving", "1").leaving) << status;
    EXPECT_TRUE(notices("heatherspan-server-leaving", " 1 ").leaving) << status;
  }
  for (const auto* value : {"0", "true", "1.0", "-1", "1,1", "yes"}) {
    EXPECT_FALSE(notices("Server-Leaving", value).leaving) << value;
    EXPECT_EQ(notices("Server-Leaving", value).malformed, std::string("Server-Leaving: ") + value);
  }
  EXPECT_LT(notices("Server-Leaving", std::string(9000, 'x')).malformed.size(), 100U);
  EXPECT_EQ(notices("Other", "1").malformed, "");
  result.status = absl::DataLossError("truncated");
  EXPECT_TRUE(notices("Server-Leaving", "1").leaving);
  result.status = absl::OkStatus();
  // Another instance has the address.
  result.response.status = 421;
  EXPECT_FALSE(notices("Server-Leaving", "1").leaving);
  HttpResponse health;
  health.headers = {{"Server-Leaving", "1"}};
  EXPECT_TRUE(RequestFormat::ReadHealth(health).notices.leaving);
}

// Guards against a pause that is read from an answer which asks for none, and against a value that
// can't be a time.
TEST(RequestFormat, ReadsThatATargetWantsAPause) {
  HttpResult result;
  result.progress = SendProgress::kCompleted;
  result.response.status = 503;
  const auto notices = [&](const std::vector<std::string>& values) {
    result.response.headers.clear();
    for (const auto& value : values) result.response.headers.push_back({"Retry-After", value});
    return RequestFormat::ReadReply(result).notices;
  };
  EXPECT_EQ(notices({"2"}).pause, seconds(2));
  EXPECT_EQ(notices({" 0.250 "}).pause, milliseconds(250));
  EXPECT_EQ(notices({"1", "3", "2"}).pause, seconds(3));
  EXPECT_EQ(notices({"1e300"}).pause, std::chrono::hours(24));
  EXPECT_FALSE(notices({"0"}).pause.has_value());
  EXPECT_EQ(notices({"0"}).malformed, "");
  for (const auto* value : {"-1", "nan", "inf", "", "Fri, 31 Dec 1999 23:59:59 GMT", "2s", "1,5"}) {
    EXPECT_FALSE(notices({value}).pause.has_value()) << value;
    EXPECT_EQ(notices({value}).malformed, std::string("Retry-After: ") + value);
  }
  for (const int status : {200, 421, 429, 500}) {
    result.response.status = status;
    EXPECT_FALSE(notices({"2"}).pause.has_value()) << status;
  }
}

// Guards against a response that is changed on its way to the caller.
// Guards against a target that goes on getting requests although it has said that it leaves or
// wants a pause, in an answer that does not name the request it belongs to.
TEST(RequestFormat, ReadsNoticesOfAnAnswerThatMayBeRepeated) {
  auto result = Answered(
      503, {{"Heatherspan-Not-Executed", "1"}, {"Server-Leaving", "1"}, {"Retry-After", "1.5"}});
  result.may_be_copy = true;
  const auto reply = RequestFormat::ReadReply(result);
  EXPECT_EQ(reply.end, AttemptOutcome::kLost);
  EXPECT_TRUE(reply.notices.leaving);
  EXPECT_EQ(reply.notices.pause, std::chrono::milliseconds(1500));
  // Another instance has the address.
  result.response.status = 421;
  EXPECT_FALSE(RequestFormat::ReadReply(result).notices.leaving);
}

TEST(RequestFormat, ForwardsStatusBodyAndEndToEndFields) {
  HttpResponse response;
  response.status = 500;
  response.headers = {{"Heatherspan-Response-Signature", "s"},
                      {"Keep-Alive", "timeout=5"},
                      {"Heatherspan-Backend-Load", "1,0,3"}};
  response.body = "bytes";
  response.close = true;
  const auto passed = RequestFormat::ForCaller(response);
  EXPECT_EQ(passed.status, 500);
  EXPECT_EQ(passed.body, "bytes");
  EXPECT_EQ(passed.Header("Heatherspan-Response-Signature"), "s");
  EXPECT_EQ(passed.Header("Keep-Alive"), "");
  EXPECT_FALSE(passed.close);
}

TEST(RequestFormat, SetsStatusAndRetryAfter) {
  EXPECT_EQ(RequestFormat::Refused(milliseconds(250)).Header("Retry-After"), "0.250");
  EXPECT_EQ(RequestFormat::Refused({}).status, 503);
  EXPECT_EQ(RequestFormat::Failed().status, 502);
  EXPECT_EQ(RequestFormat::Expired().status, 504);
}

TEST(RequestFormat, ReadsAndAnswersDirectoryQueries) {
  HttpRequest request;
  request.target = "/heatherspan/resolve?name=h%2Eexample&region=r&zone=r-a";
  const auto query = RequestFormat::ReadDirectoryQuery(request);
  ASSERT_TRUE(query.has_value());
  EXPECT_EQ(query->host, "h.example");
  EXPECT_EQ(query->zone, ZoneName("r-a"));
  request.target = "/heatherspan/other";
  EXPECT_FALSE(RequestFormat::ReadDirectoryQuery(request).has_value());
  EXPECT_EQ(RequestFormat::DirectoryAnswer({{"10.0.0.1", 80}}, milliseconds(2000)).body,
            R"({"addresses":["10.0.0.1:80"],"ttl_s":2.0})");
  EXPECT_EQ(RequestFormat::DirectoryAnswer({}, {}).status, 503);
}

TEST(RequestFormat, ReadsHealth) {
  HttpResponse response;
  response.headers = {{"Heatherspan-Instance-Id", "i-7"}, {"Heatherspan-Cold-Ms", "1500"}};
  const auto health = RequestFormat::ReadHealth(response);
  EXPECT_TRUE(health.healthy);
  EXPECT_EQ(health.instance, TargetName("i-7"));
  EXPECT_EQ(health.cold_left, milliseconds(1500));
  response.status = 503;
  EXPECT_FALSE(RequestFormat::ReadHealth(response).healthy);
}

}  // namespace
}  // namespace heatherspan
