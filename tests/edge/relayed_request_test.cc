#include <atomic>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "edge_node_fixture.h"
#include "scripted_peer.h"

namespace heatherspan {
namespace {

/// An entry VM that reaches no target, beside a peer that answers as a test asks for.
class RelayedRequestTest : public EdgeNodeFixture {
 protected:
  auto StartStranded(const ScriptedPeer& peer) -> void {
    constexpr int kUnreachable = 6;
    store_.Put("op/config", Policy(1));
    RegisterUnreachable(kUnreachable);
    store_.Put("entry/n-3", peer.Announcement());
    Start();
    ASSERT_TRUE(Eventually([&] {
      Send("/book/x", "POST");
      return log_capture_.Contains("event=stranded ");
    }));
  }

  /// Returns with a connection to the peer that has been used.
  auto StartBeside(const ScriptedPeer& peer) -> void {
    StartStranded(peer);
    ASSERT_EQ(Send("/book/x", "POST").response.status, 200);
  }

  auto SendWithId(const std::string& id, const std::string& deadline_ms = "4000") -> HttpResponse {
    auto request = Request("/book/x", "POST");
    for (auto& header : request.headers) {
      if (header.name == "Heatherspan-Request-Id") header.value = id;
      if (header.name == "Heatherspan-Deadline-Ms") header.value = deadline_ms;
    }
    return caller_.SendAndWait(settings_.callers, request, kTimeout).response;
  }
};

/// A request at a peers' port, by what the VM that passes it on says of it.
struct RuleOfOtherVm {
  std::string name;
  std::string path;
  std::string method;
  std::vector<HeaderField> fields;
  std::size_t runs = 0;  ///< If the first target may have run it.
};

class PassedOnRequestTest : public EdgeNodeFixture,
                            public testing::WithParamInterface<RuleOfOtherVm> {};

// Guards against a request that runs twice, although the configuration of one of the two VMs that
// it passes through, which may have different versions, lets it run once only.
TEST_P(PassedOnRequestTest, RunsOnceIfEitherVmSaysSo) {
  TargetStub one("i-1");
  TargetStub two("i-2");
  for (auto* target : {&one, &two}) {
    // Not signed: the request may have run.
    target->SetBehaviour(
        [](const HttpRequest& /*request*/, const HttpServer::Responder& respond) { respond({}); });
    Register(*target);
  }
  // A request that is passed on adds nothing to the budget, a caller's does.
  settings_.bounds.retry_ratio = 20;
  store_.Put("op/config", Policy(1));
  Start();
  Send("/read/other", "GET");
  auto request = Request("/heatherspan/relay" + GetParam().path, GetParam().method);
  request.headers.push_back({"Heatherspan-Relay-Arrivals", "1"});
  for (const auto& field : GetParam().fields) request.headers.push_back(field);
  const auto response = caller_.SendAndWait(settings_.peers, request, kTimeout).response;
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(response.Header("Heatherspan-Relay-Verdict"),
            GetParam().runs == 0 ? "not-run" : "may-have-run");
  std::size_t runs = 0;
  for (const auto* target : {&one, &two}) {
    for (const auto& seen : target->Requests()) {
      if (seen.target != GetParam().path) continue;
      ++runs;
      EXPECT_EQ(seen.Header("Heatherspan-Relay-Verdict"), "");
      EXPECT_EQ(seen.Header("Heatherspan-Relay-Retry-Rule"), "");
    }
  }
  EXPECT_EQ(runs, GetParam().runs);
}

const HeaderField idempotent_rule{"Heatherspan-Relay-Retry-Rule", "idempotent"};
const HeaderField may_have_run{"Heatherspan-Relay-Verdict", "may-have-run"};

INSTANTIATE_TEST_SUITE_P(
    Rules, PassedOnRequestTest,
    testing::Values(
        RuleOfOtherVm{"BothSafe", "/read/x", "GET", {idempotent_rule}, 2},
        RuleOfOtherVm{"SafeHereOnly", "/read/x", "GET", {}, 1},
        RuleOfOtherVm{"SafeThereOnly", "/book/x", "POST", {idempotent_rule}, 1},
        RuleOfOtherVm{"NeitherSafe", "/book/x", "POST", {}, 1},
        RuleOfOtherVm{"SafeAndMayHaveRun", "/read/x", "GET", {idempotent_rule, may_have_run}, 2},
        RuleOfOtherVm{
            "SafeThereOnlyAndMayHaveRun", "/book/x", "POST", {idempotent_rule, may_have_run}, 0},
        RuleOfOtherVm{"SafeHereOnlyAndMayHaveRun", "/read/x", "GET", {may_have_run}, 0}),
    [](const auto& test) { return test.param.name; });

/// An answer to the request "a" that does not prove that the request has not run.
class UncertainAnswerTest : public RelayedRequestTest,
                            public testing::WithParamInterface<const char*> {};

// Guards against a caller who is told "not run", or whose request runs once more, because of an
// answer at a peer's port that may belong to another request, comes from a target, or contradicts
// itself.
TEST_P(UncertainAnswerTest, MeansThatTheRequestMayHaveRun) {
  ScriptedPeer peer([](const std::string& id) {
    return id == "a" ? std::string(GetParam()) : ScriptedPeer::Served(id);
  });
  StartBeside(peer);
  EXPECT_EQ(SendWithId("a", "1500").status, 502);
  EXPECT_EQ(peer.Requests("a").size(), 1U);
  node_.reset();
}

INSTANTIATE_TEST_SUITE_P(
    Answers, UncertainAnswerTest,
    testing::Values(
        // A copy of an earlier answer, on a connection in use.
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nHeatherspan-Relay-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
        // A target has run the request.
        "HTTP/1.1 404 Not Found\r\nHeatherspan-Response-Signature: sig\r\n"
        "Heatherspan-Request-Id: a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nHeatherspan-Response-Signature: sig\r\n"
        "Heatherspan-Relay-Verdict: not-run\r\nHeatherspan-Request-Id: a\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nHeatherspan-Response-Signature: sig\r\n"
        "Heatherspan-Relay-Verdict: out-of-reach\r\nHeatherspan-Request-Id: a\r\n"
        "Content-Length: 0\r\n\r\n",
        // A status that contradicts the verdict.
        "HTTP/1.1 200 OK\r\nHeatherspan-Relay-Verdict: not-run\r\nHeatherspan-Request-Id: a\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nHeatherspan-Relay-Verdict: ran\r\nHeatherspan-Request-Id: a\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 429 Full\r\nHeatherspan-Relay-Verdict: ran\r\nHeatherspan-Request-Id: a\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nHeatherspan-Relay-Verdict: may-have-run\r\n"
        "Heatherspan-Request-Id: a\r\nContent-Length: 0\r\n\r\n",
        // No verdict, an unknown one, half an answer, none.
        "HTTP/1.1 503 Full\r\nHeatherspan-Request-Id: a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nHeatherspan-Request-Id: a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nHeatherspan-Relay-Verdict: maybe\r\n"
        "Heatherspan-Request-Id: a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Le",
        "HTTP/1.1 503 Full\r\nHeatherspan-Relay-Verdict: not-run\r\nContent-Length: 9\r\n\r\nhalf",
        ""));

// Guards against a request that is said not to have run because its peer did not answer in time.
TEST_F(RelayedRequestTest, MayHaveRunAtAPeerThatDoesNotAnswer) {
  std::atomic<bool> ended = false;
  ScriptedPeer peer([&](const std::string& id) {
    if (id == "a") ended.wait(false);
    return ScriptedPeer::Served(id);
  });
  StartBeside(peer);
  const auto status = SendWithId("a", "500").status;
  EXPECT_TRUE(status == 502 || status == 504) << status;
  EXPECT_EQ(peer.Requests("a").size(), 1U);
  ended = true;
  ended.notify_all();
  node_.reset();
}

// Guards against a caller who is told that its path is unknown, although its VM knows the route.
TEST_F(RelayedRequestTest, AnUnknownPathAtThePeerIsNoFinalAnswer) {
  ScriptedPeer peer([](const std::string& id) {
    return id != "a" ? ScriptedPeer::Served(id)
                     : std::string(
                           "HTTP/1.1 404 Not Found\r\nHeatherspan-Relay-Verdict: not-run\r\n"
                           "Heatherspan-Request-Id: a\r\nContent-Length: 0\r\n\r\n");
  });
  StartBeside(peer);
  EXPECT_EQ(SendWithId("a").status, 503);
  node_.reset();
}

// Guards against a caller who is told that its key is unknown, which it never sends again, although
// its VM knows the key.
TEST_F(RelayedRequestTest, AnUnknownKeyAtThePeerIsNoFinalAnswer) {
  ScriptedPeer peer([](const std::string& id) {
    return id != "a" ? ScriptedPeer::Served(id)
                     : std::string(
                           "HTTP/1.1 401 Unauthorized\r\nHeatherspan-Relay-Verdict: not-run\r\n"
                           "Heatherspan-Request-Id: a\r\nContent-Length: 0\r\n\r\n");
  });
  StartBeside(peer);
  const auto answer = SendWithId("a");
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  node_.reset();
}

// Guards against a caller that another VM's 4xx keeps from sending its request again, although the
// configuration of its own VM allows it.
TEST_F(RelayedRequestTest, AClientErrorOfThePeerIsNoFinalAnswer) {
  constexpr const char* kBare = "Content-Length: 0\r\n\r\n";
  const auto with_verdict = [](const std::string& id, const char* verdict) {
    return "Heatherspan-Relay-Verdict: " + std::string(verdict) +
           "\r\nHeatherspan-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
  };
  // An id starts with the status of the answer, and ends with what follows the status.
  ScriptedPeer peer([&](const std::string& id) {
    if (id.size() < 4 || id[3] != '-') return ScriptedPeer::Served(id);
    const auto kind = id.substr(4);
    return "HTTP/1.1 " + id.substr(0, 3) + " Refused\r\n" +
           (kind == "bare" ? kBare : with_verdict(id, kind.c_str()));
  });
  StartBeside(peer);
  for (const char* status : {"400", "401", "403", "405", "408", "413", "421", "429", "431"}) {
    for (const char* kind : {"not-run", "may-have-run", "ran", "bare"}) {
      const auto id = std::string(status) + "-" + kind;
      const auto answer = SendWithId(id);
      EXPECT_EQ(peer.Requests(id).size(), 1U) << id;
      if (std::string(kind) != "not-run") {
        EXPECT_EQ(answer.status, 502) << id;
        continue;
      }
      const bool promises = answer.status == 408 || answer.status == 421 || answer.status == 429;
      EXPECT_TRUE(promises || answer.status == 503) << id << ": " << answer.status;
    }
  }
  node_.reset();
}

// Guards against a caller who may not come back although no peer could be reached.
TEST_F(RelayedRequestTest, HasNotRunIfNoPeerCanBeReached) {
  std::optional<ScriptedPeer> peer(std::in_place, &ScriptedPeer::Served);
  StartStranded(*peer);
  peer.reset();
  EXPECT_TRUE(Eventually([&] { return SendWithId("a").status == 503; }));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(SendWithId("a").status, 503) << i;
}

// Guards against requests that are lost at a VM of an earlier build, because its later answers come
// on connections that have been used.
TEST_F(RelayedRequestTest, AnEarlierBuildRunsNothing) {
  ScriptedPeer peer([](const std::string& /*id*/) {
    return std::string("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  });
  StartStranded(peer);
  EXPECT_TRUE(Eventually([&] {
    EXPECT_EQ(SendWithId("a").status, 503);
    return peer.Requests("a").size() >= 3 || HasFailure();
  }));
  node_.reset();
}

}  // namespace
}  // namespace heatherspan
