#include "standins/caller.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kLookup =
    R"({"service":"ledger","addresses":[{"address":"10.0.0.1:80","zone":"a"},)"
    R"({"address":"10.0.0.2:80","zone":"b"}],"lifetime_ms":5000})";

auto Lost() -> HttpResult {
  return {.status = absl::UnavailableError("closed"),
          .progress = SendProgress::kWritten,
          .response = {}};
}

auto NotConnected() -> HttpResult {
  return {.status = absl::UnavailableError("refused"),
          .progress = SendProgress::kNothingWritten,
          .response = {}};
}

auto Response(int status, std::vector<HeaderField> headers, std::string body = "") -> HttpResult {
  return {.status = {},
          .progress = SendProgress::kCompleted,
          .response = {.status = status, .headers = std::move(headers), .body = std::move(body)}};
}

auto Refusal(int status, const char* verdict, const char* reason,
             std::vector<HeaderField> more = {}) -> HttpResult {
  more.push_back({"Heatherspan-Verdict", verdict});
  more.push_back({"Heatherspan-Reason", reason});
  return Response(status, std::move(more));
}

auto TicketRefusal(const char* ticket) -> HttpResult {
  return Refusal(428, "not-run", "ticket-required", {{"Heatherspan-Ticket", ticket}});
}

/// Answers as the target stand-in would.
auto Answer(const HttpRequest& request, const std::string& path) -> HttpResult {
  const AnswerBody body{.target = "t",
                        .request_id = std::string(request.Header("Heatherspan-Request-Id")),
                        .ticket = std::string(request.Header("Heatherspan-Ticket")),
                        .digest = RequestDigest(request.method, path, request.body)};
  return Response(200, {{"Heatherspan-Verdict", "ran"}}, body.Compose(64));
}

/// Surroundings with a script: one reply for each request to a service.
class ScriptedWorld {
 public:
  using Reply = std::function<HttpResult(const HttpRequest&)>;
  struct Sent {
    std::string address;
    std::string ticket;
  };

  auto Now() const -> MonotonicTime { return now_; }
  auto Pause(Duration duration) -> void {
    pauses.push_back(duration);
    now_ += duration;
  }
  auto Send(const Endpoint& endpoint, const HttpRequest& request, Duration /*timeout*/)
      -> HttpResult {
    if (request.target.starts_with("/v1/lookup")) {
      ++lookups;
      return Response(200, {}, lookup_answer);
    }
    sent.push_back({endpoint.Text(), std::string(request.Header("Heatherspan-Ticket"))});
    if (sent.size() > replies.size()) return NotConnected();
    return replies[sent.size() - 1](request);
  }

  std::string lookup_answer = kLookup;
  std::vector<Reply> replies;
  std::vector<Sent> sent;
  std::vector<Duration> pauses;
  int lookups = 0;

 private:
  MonotonicTime now_{};
};

auto Always(const HttpResult& result) -> ScriptedWorld::Reply {
  return [result](const HttpRequest& /*request*/) { return result; };
}

class CallerTest : public testing::Test {
 protected:
  auto Run(const char* method, const std::string& path = "/orders/1") -> OperationResult {
    return caller_.Run(
        {.service = "ledger", .method = method, .path = path, .body = "b", .request_id = "r-1"});
  }
  static auto Answered(const HttpRequest& request) -> HttpResult {
    return Answer(request, "/orders/1");
  }

  ScriptedWorld world_;
  Caller<ScriptedWorld> caller_{world_, {{"10.0.0.9", 80}}, "", {}, Random(1)};
};

TEST_F(CallerTest, LooksUpOnceWithinTheLifetime) {
  world_.replies = {Answered, Answered, Answered};
  EXPECT_EQ(Run("GET").outcome, Outcome::kAnswered);
  EXPECT_EQ(Run("GET").outcome, Outcome::kAnswered);
  EXPECT_EQ(world_.lookups, 1);
  world_.Pause(seconds(5));
  EXPECT_EQ(Run("GET").outcome, Outcome::kAnswered);
  EXPECT_EQ(world_.lookups, 2);
}

TEST_F(CallerTest, GoesToTheNextAddressWhenItCannotConnect) {
  world_.replies = {Always(NotConnected()), Answered};
  const auto result = Run("GET");
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(result.connect_failures, 1);
  EXPECT_EQ(world_.sent[1].address, "10.0.0.2:80");
}

TEST_F(CallerTest, TakesTheTicketFromTheRefusal) {
  world_.replies = {Always(TicketRefusal("t-1")), Answered};
  const auto result = Run("POST");
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(result.tickets, std::vector<std::string>{"t-1"});
  EXPECT_EQ(world_.sent[1].ticket, "t-1");
  EXPECT_EQ(result.repeats, 0);
}

// The ticket of a look-up answer may be used for one operation only.
TEST_F(CallerTest, UsesTheTicketOfALookupOnce) {
  world_.lookup_answer.insert(1, R"("ticket":"t-9",)");
  world_.replies = {Answered, Always(TicketRefusal("t-2")), Answered};
  EXPECT_EQ(Run("POST").tickets, std::vector<std::string>{"t-9"});
  EXPECT_EQ(Run("POST").tickets, std::vector<std::string>{"t-2"});
}

// A new ticket after a lost answer would run the order a second time.
TEST_F(CallerTest, RepeatsALostPostWithTheSameTicketElsewhere) {
  world_.replies = {Always(TicketRefusal("t-1")), Always(Lost()), Answered};
  const auto result = Run("POST");
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(result.lost_at, std::vector<std::string>{"10.0.0.1:80"});
  EXPECT_EQ(world_.sent[2].ticket, "t-1");
  EXPECT_EQ(world_.sent[2].address, "10.0.0.2:80");
}

// After a lost answer no later refusal proves that the first attempt did not run.
TEST_F(CallerTest, KeepsTheTicketAndTheDoubtAfterALostAnswer) {
  const auto refused = Always(Refusal(503, "not-run", "ticket-expired"));
  world_.replies = {Always(TicketRefusal("t-1")), Always(Lost())};
  world_.replies.resize(12, refused);
  const auto result = Run("POST");
  EXPECT_EQ(result.outcome, Outcome::kUnknown);
  EXPECT_EQ(result.tickets, std::vector<std::string>{"t-1"});
}

TEST_F(CallerTest, TakesANewTicketAfterACertainRefusal) {
  world_.replies = {Always(TicketRefusal("t-1")), Always(Refusal(503, "not-run", "ticket-expired")),
                    Always(TicketRefusal("t-2")), Answered};
  const auto result = Run("POST");
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(result.tickets, (std::vector<std::string>{"t-1", "t-2"}));
}

TEST_F(CallerTest, ObeysRetryAfterAndReportsTheReason) {
  const auto refused = Refusal(503, "not-run", "region-cap", {{"Retry-After", "3"}});
  world_.replies.resize(12, Always(refused));
  const auto result = Run("GET");
  EXPECT_EQ(result.outcome, Outcome::kRefused);
  EXPECT_EQ(result.detail, "region-cap");
  EXPECT_EQ(result.refusals.size(), 3U);
  EXPECT_EQ(world_.pauses, (std::vector<Duration>{seconds(3), seconds(3), seconds(2)}));
}

TEST_F(CallerTest, PrefersTheRetryTimeInMilliseconds) {
  world_.replies = {Always(Refusal(503, "not-run", "overload",
                                   {{"Retry-After", "1"}, {"Heatherspan-Retry-After-Ms", "150"}})),
                    Answered};
  EXPECT_EQ(Run("GET").outcome, Outcome::kAnswered);
  EXPECT_EQ(world_.pauses, std::vector<Duration>{milliseconds(150)});
}

// Only a repeat may be told that its request ran without getting the answer.
TEST_F(CallerTest, AcceptsThatARepeatedPostRanWithoutItsBody) {
  const auto ran = Always(Refusal(502, "ran", "response-too-large"));
  world_.replies = {Always(TicketRefusal("t-1")), Always(Lost()), ran};
  EXPECT_EQ(Run("POST").outcome, Outcome::kAnswered);
  world_.replies = {Always(TicketRefusal("t-1")), ran};
  world_.sent.clear();
  EXPECT_EQ(Run("POST").outcome, Outcome::kWrong);
}

TEST_F(CallerTest, DetectsAnswersThatAreNotItsOwn) {
  world_.replies = {[](const HttpRequest& request) { return Answer(request, "/orders/2"); },
                    [](const HttpRequest& request) {
                      auto cut = Answered(request);
                      cut.response.body.pop_back();
                      return cut;
                    },
                    [](const HttpRequest& request) {
                      auto crossed = request;
                      crossed.headers = {{"Heatherspan-Request-Id", "r-2"}};
                      return Answered(crossed);
                    }};
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Run("GET").outcome, Outcome::kWrong) << i;
}

TEST_F(CallerTest, GivesUpAfterTheOperationTime) {
  const auto result = Run("GET");
  EXPECT_EQ(result.outcome, Outcome::kRefused);
  EXPECT_EQ(result.connect_failures, 10);
  EXPECT_LE(result.duration, seconds(9));
}

}  // namespace
}  // namespace heatherspan
