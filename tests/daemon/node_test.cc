#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "fmt/format.h"
#include "net/blocking_queue.h"
#include "net/raw_socket.h"
#include "standins/answer_body.h"
#include "test_cluster.h"

namespace heatherspan {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::StartsWith;

constexpr const char* kOrdersPath = "/v1/services/desk/orders";

class NodeTest : public testing::Test {
 protected:
  static auto Verdict(const HttpResponse& response) -> std::string {
    return fmt::format("{} {} {}", response.status, response.Header("Heatherspan-Verdict"),
                       response.Header("Heatherspan-Reason"));
  }
  auto PostWithTicket(const std::string& name, const std::string& ticket,
                      const char* body = "order") -> HttpResponse {
    return cluster_.Send(name, "POST", kOrdersPath, {{"Heatherspan-Ticket", ticket}}, body);
  }
  /// A ticket of the node, from the refusal of a POST without one.
  auto Ticket(const std::string& name) -> std::string {
    const auto refused = cluster_.Send(name, "POST", kOrdersPath, {}, "order");
    EXPECT_EQ(Verdict(refused), "428 not-run ticket-required");
    return std::string(refused.Header("Heatherspan-Ticket"));
  }
  auto ExpectServing(const std::string& name) -> void {
    const auto response = cluster_.Send(name, "GET", "/v1/services/desk/next");
    EXPECT_EQ(Verdict(response), "200 ran ");
    EXPECT_TRUE(AnswerBody::Parse(response.body).has_value());
  }
  auto SendRaw(const std::string& name, const std::string& bytes) -> std::string {
    const auto socket = RawSocket::Connect(cluster_.node(name).identity().callers);
    EXPECT_TRUE(socket.Send(bytes));
    return socket.ReadUntilClosed();
  }

  TestCluster cluster_;
};

// Guards against a node that serves only its own zone, or confuses the requests or responses that
// it forwards.
TEST_F(NodeTest, ForwardsRequestsToNodesOfOtherZones) {
  cluster_.StartTwoNodes();
  const auto lookup = cluster_.Send("entry-2", "GET", "/v1/lookup?service=scripted");
  EXPECT_EQ(lookup.status, 200);
  EXPECT_THAT(lookup.body, HasSubstr(cluster_.node("entry-1").identity().callers.Text()));
  cluster_.scripted().SetAnswer("HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 4\r\n\r\nrota");
  // The only target of the service is in the other zone.
  const auto response = cluster_.Send("entry-2", "GET", "/v1/services/scripted/rota?day=3");
  EXPECT_EQ(Verdict(response), "200 ran ");
  EXPECT_EQ(response.body, "rota");
  EXPECT_EQ(response.Header("X-Own"), "1");
}

// Guards against a non-idempotent request that runs without a ticket, and a duplicate that runs
// again.
TEST_F(NodeTest, PostWithTicketRunsOnce) {
  cluster_.StartTwoNodes();
  const auto ticket = Ticket("entry-1");
  EXPECT_EQ(cluster_.Executions("/orders"), 0);
  const auto first = PostWithTicket("entry-1", ticket);
  EXPECT_EQ(Verdict(first), "200 ran ");
  const auto duplicate = PostWithTicket("entry-2", ticket);
  EXPECT_EQ(Verdict(duplicate), "200 ran ");
  EXPECT_EQ(duplicate.body, first.body);
  EXPECT_TRUE(AnswerBody::Parse(first.body).has_value());
  EXPECT_EQ(cluster_.Executions("/orders"), 1);
}

// Guards against a ticket with which a second, different request runs or gets the response to the
// first.
TEST_F(NodeTest, TicketIsValidForOneRequestOnly) {
  cluster_.StartTwoNodes();
  const auto ticket = Ticket("entry-1");
  EXPECT_EQ(PostWithTicket("entry-1", ticket).status, 200);
  for (const auto* name : {"entry-1", "entry-2"}) {
    EXPECT_EQ(Verdict(PostWithTicket(name, ticket, "another order")), "400 not-run ticket-invalid");
  }
  EXPECT_EQ(Verdict(PostWithTicket("entry-2", "forged")), "400 not-run ticket-invalid");
  EXPECT_EQ(cluster_.Executions("/orders"), 1);
}

// Guards against a second run, or the verdict "not run", after the loss of the ticket's owner.
TEST_F(NodeTest, LostTicketOwnerYieldsMayHaveRun) {
  cluster_.StartTwoNodes();
  const auto ticket = Ticket("entry-1");
  EXPECT_EQ(PostWithTicket("entry-1", ticket).status, 200);
  cluster_.Destroy("entry-1");
  const auto duplicate = PostWithTicket("entry-2", ticket);
  EXPECT_THAT(Verdict(duplicate), HasSubstr("may-have-run")) << Verdict(duplicate);
  EXPECT_EQ(cluster_.Executions("/orders"), 1);
}

// Guards against a planned stop that interrupts a request in flight or accepts new requests after
// the linger time.
TEST_F(NodeTest, PlannedStopFinishesRequestsInFlight) {
  cluster_.StartTwoNodes(std::chrono::milliseconds(50));
  const std::string body(300'000, 'x');
  cluster_.scripted().SetAnswer(
      fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
  cluster_.scripted().Hold();
  const auto before = cluster_.scripted().requests();
  BlockingQueue<HttpResult> results;
  cluster_.SendAsync("entry-1", "GET", "/v1/services/scripted/slow",
                     [&](HttpResult result) { results.Push(std::move(result)); });
  ASSERT_TRUE(TestCluster::WaitUntil([&] { return cluster_.scripted().requests() > before; }));
  cluster_.node("entry-1").BeginLeave();
  ASSERT_TRUE(
      TestCluster::WaitUntil([&] { return cluster_.Status("entry-1").at("refusing") == true; }));
  const auto refused = cluster_.Send("entry-1", "GET", "/v1/services/desk/late");
  EXPECT_EQ(Verdict(refused), "503 not-run leaving");
  EXPECT_EQ(cluster_.Executions("/late"), 0);
  EXPECT_EQ(results.size(), 0);
  cluster_.scripted().Release();
  const auto result = results.Pop();
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(result->status.ok()) << result->status;
  EXPECT_EQ(result->response.body, body);
  cluster_.node("entry-1").WaitUntilStopped();
}

// Guards against a node with another peer key that joins, and against one whose rejected datagrams
// are not counted.
TEST_F(NodeTest, WrongPeerKeyDoesNotJoin) {
  cluster_.StartTwoNodes();
  auto settings = cluster_.SettingsOf("stranger", "north-1");
  settings.peer_key = "another key than the others have";
  cluster_.Start(settings);
  const auto* rejected = R"(heatherspan_rejected_input_total{listener="peers",cause="datagram"})";
  for (const auto* name : {"entry-1", "entry-2"}) {
    EXPECT_TRUE(TestCluster::WaitUntil([&] { return cluster_.MetricValue(name, rejected) >= 2; }))
        << name;
    EXPECT_THAT(cluster_.Members(name), ElementsAre("entry-1", "entry-2"));
  }
  EXPECT_THAT(cluster_.Members("stranger"), ElementsAre("stranger"));
}

// Guards against an invalid request that runs, gets no response or breaks the request after it.
TEST_F(NodeTest, RejectsInvalidInput) {
  cluster_.StartTwoNodes();
  EXPECT_THAT(SendRaw("entry-1", "GET /v1/services/desk/bad HTTP/1.1\r\nHost: x\r\nLong: " +
                                     std::string(std::size_t{17} * 1024, 'x') + "\r\n\r\n"),
              StartsWith("HTTP/1.1 431 "));
  ExpectServing("entry-1");
  EXPECT_THAT(
      SendRaw("entry-1",
              "POST /v1/services/desk/bad HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n"),
      StartsWith("HTTP/1.1 413 "));
  ExpectServing("entry-1");
  for (const auto* deadline : {"soon", "-1", "1e3", "99999999999"}) {
    EXPECT_EQ(Verdict(cluster_.Send("entry-1", "GET", "/v1/services/desk/bad",
                                    {{"Heatherspan-Deadline-Ms", deadline}})),
              "400 not-run bad-request")
        << deadline;
    ExpectServing("entry-1");
  }
  EXPECT_EQ(Verdict(cluster_.Send("entry-1", "GET", "/v1/services/disk/bad")),
            "404 not-run unknown-service");
  ExpectServing("entry-1");
  EXPECT_EQ(cluster_.Executions("/bad"), 0);
}

// Guards against a node that reports that it is ready, or runs a request, before it has a
// configuration.
TEST_F(NodeTest, WithoutConfigurationIsNotReady) {
  cluster_.Start(cluster_.SettingsOf("entry-1", "north-1"));
  for (const auto* path : {"/v1/lookup?service=desk", "/v1/services/desk/early"}) {
    EXPECT_EQ(Verdict(cluster_.Send("entry-1", "GET", path)), "503 not-run no-configuration");
  }
  EXPECT_EQ(cluster_.Admin("entry-1", "GET", "/readyz").status, 503);
  EXPECT_EQ(cluster_.Admin("entry-1", "GET", "/healthz").status, 200);
}

// Guards against an error of the target that the caller does not see, and a truncated response that
// looks complete.
TEST_F(NodeTest, PassesOnTargetErrorsAndReportsTruncation) {
  cluster_.StartTwoNodes();
  struct Case {
    const char* answer;
    const char* verdict;
    const char* body;  ///< A substring of the body.
  };
  for (const auto& [answer, verdict, body] :
       {Case{"HTTP/1.1 500 Oops\r\nConnection: close\r\nContent-Length: 4\r\n\r\noops", "500 ran ",
             "oops"},
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
             "502 may-have-run truncated-response", ""}}) {
    cluster_.scripted().SetAnswer(answer);
    const auto before = cluster_.scripted().requests();
    const auto ticket = Ticket("entry-2");
    const auto response = cluster_.Send("entry-2", "POST", "/v1/services/scripted/orders",
                                        {{"Heatherspan-Ticket", ticket}}, "order");
    EXPECT_EQ(Verdict(response), verdict);
    EXPECT_THAT(response.body, HasSubstr(body));
    EXPECT_EQ(cluster_.scripted().requests(), before + 1);
  }
}

// Guards against a booking that is refused, or sent again, because a late copy of an earlier
// refusal passes for the answer to it.
TEST_F(NodeTest, ARepeatedRefusalIsNoAnswerToTheNextRequest) {
  cluster_.StartTwoNodes();
  auto& target = cluster_.scripted();
  target.SetAnswer("HTTP/1.1 503 No\r\nTarget-Refused: shed\r\nContent-Length: 0\r\n\r\n");
  target.RepeatAnswers();
  EXPECT_TRUE(TestCluster::WaitUntil([&] {
    const auto ticket = Ticket("entry-1");
    const auto before = target.repeats();
    const auto response = cluster_.Send("entry-1", "POST", "/v1/services/scripted/orders",
                                        {{"Heatherspan-Ticket", ticket}});
    const bool ran = target.repeats() > before;
    if (ran) {
      EXPECT_EQ(Verdict(response), "502 may-have-run target-refused");
    }
    return HasFailure() || ran;
  }));
}

// Guards against a booking that is refused although it runs, because its caller sends it once more
// under its id and a late copy of the first refusal names it.
TEST_F(NodeTest, ARepeatedRefusalIsNoAnswerToTheSameRequestSentAgain) {
  cluster_.StartTwoNodes();
  auto& target = cluster_.scripted();
  target.SetAnswer(
      "HTTP/1.1 503 No\r\nTarget-Refused: shed\r\nHeatherspan-Request-Id: order-1\r\n"
      "Content-Length: 0\r\n\r\n");
  target.RepeatAnswers();
  EXPECT_TRUE(TestCluster::WaitUntil([&] {
    const auto ticket = Ticket("entry-1");
    const auto before = target.repeats();
    const auto response =
        cluster_.Send("entry-1", "POST", "/v1/services/scripted/orders",
                      {{"Heatherspan-Ticket", ticket}, {"Heatherspan-Request-Id", "order-1"}});
    const bool ran = target.repeats() > before;
    if (ran) {
      EXPECT_NE(Verdict(response), "503 not-run target-refused");
    }
    return HasFailure() || ran || target.requests() >= 4;
  }));
}

// Guards against a refusal by one target that reaches the caller although another target has free
// slots.
TEST_F(NodeTest, RetriesShedRequestsAtAnotherTarget) {
  cluster_.StartTwoNodes();
  ASSERT_EQ(cluster_.ChangeTarget("desk-1", R"({"shedding": true})"), 200);
  const auto* retries = R"(heatherspan_retries_total{reason="target-refused"})";
  const auto retried = [&] { return cluster_.MetricValue("entry-1", retries) > 0; };
  // The steering chooses the zone of the first attempt, so the test sends requests until one is
  // shed.
  EXPECT_TRUE(TestCluster::WaitUntil([&] {
    const auto response = cluster_.Send("entry-1", "GET", "/v1/services/desk/retry");
    EXPECT_EQ(Verdict(response), "200 ran ");
    const auto body = AnswerBody::Parse(response.body);
    EXPECT_TRUE(body.has_value() && body->target == "desk-2");
    return HasFailure() || retried();
  }));
}

}  // namespace
}  // namespace heatherspan
