#include <unistd.h>

#include <fstream>
#include <functional>
#include <list>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "edge_node_fixture.h"
#include "fmt/format.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

/// A target that sends exactly the bytes that a test asks for.
class RawTarget {
 public:
  using Script = std::function<void(const RawSocket&)>;

  /// Runs the script on each of the first connections, one after the other.
  RawTarget(int connections, Script script)
      : thread_([this, connections, script = std::move(script)] {
          for (int i = 0; i < connections; ++i) script(listener_.Accept());
        }) {}
  ~RawTarget() { thread_.join(); }
  RawTarget(const RawTarget&) = delete;
  auto operator=(const RawTarget&) -> RawTarget& = delete;

  auto Registration() const -> std::string { return RegistrationAt(listener_.endpoint()); }
  static auto RegistrationAt(const Endpoint& endpoint) -> std::string {
    return fmt::format(
        R"({{"address":"{}","info":{{"service":"s","version":"v1","zone":"a","max_concurrency":3}},)"
        R"("status":{{"state":"ready","sequence":1,"cold_left_s":0}}}})",
        endpoint.Text());
  }

 private:
  RawListener listener_;
  std::thread thread_;
};

auto AnswerTo(const std::string& id, const std::string& body) -> std::string {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nHeatherspan-Response-Signature: sig\r\nHeatherspan-Request-Id: {}\r\n"
      "Content-Length: {}\r\n\r\n{}",
      id, body.size(), body);
}

/// Of this process.
auto ResidentBytes() -> std::size_t {
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

class TargetTroubleTest : public EdgeNodeFixture {
 protected:
  auto StartWith(const RawTarget& target) -> void {
    store_.Put("op/config", Policy(1));
    store_.Put("servers/i-1", target.Registration());
    Start();
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

/// The bytes of a refusal that a target writes once more.
class RepeatedRefusalTest : public TargetTroubleTest,
                            public testing::WithParamInterface<const char*> {};

struct Endless {
  std::string name;
  std::string start;  ///< Sent once.
  std::string again;  ///< Sent until the connection is closed.
};

class EndlessBytesTest : public TargetTroubleTest, public testing::WithParamInterface<Endless> {};

// Guards against memory and processing that grow with a target which sends bytes until its caller
// closes, in a head or a body, and against such bytes that pass for an answer.
TEST_P(EndlessBytesTest, AreCutOff) {
  constexpr std::size_t kMaxAccepted = std::size_t{96} * 1024 * 1024;
  std::atomic<std::size_t> accepted = 0;
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(GetParam().start);
    std::string piece;
    while (piece.size() < 16384) piece += GetParam().again;
    while (accepted < kMaxAccepted && socket.Send(piece)) accepted += piece.size();
  });
  StartWith(target);
  const auto result = Send("/book/x", "POST");
  ASSERT_TRUE(result.status.ok()) << result.status;
  EXPECT_TRUE(result.response.status == 502 || result.response.status == 504)
      << result.response.status;
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("verdict=may-have-run"); }));
  // The node still serves.
  EXPECT_EQ(Get(settings_.readiness, "/heatherspan/ready").status, 200);
  node_.reset();
  EXPECT_LT(accepted.load(), kMaxAccepted);
}

constexpr const char* kChunkedHead =
    "HTTP/1.1 200 OK\r\nHeatherspan-Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Kinds, EndlessBytesTest,
    testing::Values(Endless{"StatusLine", "HTTP/1.1 200 ", "x"},
                    Endless{"HeaderField", "HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
                    Endless{"HeaderFields", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
                    Endless{"InformationalResponses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                    Endless{"ChunkExtension", std::string(kChunkedHead) + "5;", "x"},
                    Endless{"Chunks", kChunkedHead, "5\r\nabcde\r\n"},
                    Endless{"Trailers", std::string(kChunkedHead) + "0\r\n", "X-Filler: x\r\n"},
                    Endless{"BodyWithoutLength",
                            "HTTP/1.1 200 OK\r\nHeatherspan-Response-Signature: sig\r\n\r\n", "x"},
                    Endless{"BodyOfHugeLength",
                            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
                    Endless{"NoHttp", "", "x"}),
    [](const auto& test) { return test.param.name; });

/// A target that begins a body without end on each connection and leaves it there.
class EndlessTarget {
 public:
  explicit EndlessTarget(std::size_t bytes)
      : acceptor_([this, bytes] {
          while (!ended_) {
            threads_.emplace_back([bytes, socket = listener_.Accept()] { Serve(socket, bytes); });
          }
        }) {}
  ~EndlessTarget() {
    ended_ = true;
    RawSocket::Connect(listener_.endpoint()).Close();
    acceptor_.join();
    for (auto& thread : threads_) thread.join();
  }
  EndlessTarget(const EndlessTarget&) = delete;
  auto operator=(const EndlessTarget&) -> EndlessTarget& = delete;

  auto Registration() const -> std::string {
    return RawTarget::RegistrationAt(listener_.endpoint());
  }

 private:
  static auto Serve(const RawSocket& socket, std::size_t bytes) -> void {
    socket.ReadUntil("\r\n\r\n");
    socket.Send("HTTP/1.1 200 OK\r\nHeatherspan-Response-Signature: sig\r\n\r\n");
    const std::string piece(std::size_t{64} * 1024, 'x');
    while (bytes >= piece.size() && socket.Send(piece)) bytes -= piece.size();
    socket.ReadUntilClosed();
  }

  RawListener listener_;
  std::atomic<bool> ended_ = false;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Guards against a VM that runs out of its machine's memory, and ends with the requests of others,
// because each of many bodies without end, in answers to requests and to health checks, stays below
// the bound of one response.
TEST_F(TargetTroubleTest, ManyBodiesWithoutEndFitInTheMachine) {
  constexpr int kTargets = 36;
  constexpr std::size_t kBody = std::size_t{7} * 1024 * 1024;
  // The smallest machine of the deployments has 260 MB.
  constexpr std::size_t kMachine = std::size_t{260} * 1000 * 1000;
  settings_.memory_mb = static_cast<int>(kMachine / (std::size_t{1024} * 1024));
  std::list<EndlessTarget> targets;
  store_.Put("op/config", Policy(1));
  for (int i = 0; i < kTargets; ++i) {
    store_.Put("servers/i-" + std::to_string(i), targets.emplace_back(kBody).Registration());
  }
  Start();
  const auto before = ResidentBytes();
  std::atomic<int> answered = 0;
  std::size_t peak = 0;
  for (int i = 0; i < kTargets; ++i) {
    caller_.Send(settings_.callers, Request("/read/" + std::to_string(i)), kTimeout,
                 [&](const HttpResult&) { ++answered; });
  }
  EXPECT_TRUE(Eventually([&] {
    peak = std::max(peak, ResidentBytes());
    return answered == kTargets;
  }));
  EXPECT_LT(peak, before + kMachine / 2);
  EXPECT_TRUE(log_capture_.Contains("is one of the largest"));
  // The node still serves.
  EXPECT_EQ(Get(settings_.readiness, "/heatherspan/ready").status, 200);
  node_.reset();
}

// Guards against a caller who gets the late second copy of another caller's answer: it arrives on a
// connection that is in use again, before the answer to the request in flight.
TEST_F(TargetTroubleTest, ALateSecondCopyReachesNoOtherCaller) {
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(AnswerTo("id-a", "answer to a"));
    socket.ReadUntil("\r\n\r\n");
    socket.Send(AnswerTo("id-a", "answer to a"));
    socket.Send(AnswerTo("id-b", "answer to b"));
    socket.ReadUntilClosed();
  });
  StartWith(target);
  EXPECT_EQ(SendWithId("id-a").body, "answer to a");
  const auto second = SendWithId("id-b");
  EXPECT_EQ(second.body, "answer to b") << second.status;
  node_.reset();
}

// Guards against a request that ran twice, or although it was refused, and whose lines don't tell
// what its verdicts rested on.
TEST_F(TargetTroubleTest, LinesTellWhatAVerdictRestsOn) {
  RawTarget target(2, [&, first = true](const RawSocket& socket) mutable {
    socket.ReadUntil("\r\n\r\n");
    if (!std::exchange(first, false)) {
      socket.Send("HTTP/1.1 503 Full\r\nHeatherspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    socket.Send(AnswerTo("id-a", ""));
    socket.ReadUntil("\r\n\r\n");
    socket.Send(AnswerTo("id-a", "") + AnswerTo("id-b", ""));
  });
  StartWith(target);
  SendWithId("id-a");
  SendWithId("id-b");
  EXPECT_EQ(SendWithId("id-c").status, 503);
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("event=request id=id-c"); }));
  const auto text = log_capture_.Text();
  const auto line = [&](const std::string& start) {
    const auto from = text.find(start);
    return from == std::string::npos ? "" : text.substr(from, text.find('\n', from) - from);
  };
  EXPECT_EQ(line("event=attempt id=id-a"), "");
  const auto dropped = line("event=attempt id=id-b target=i-1 end=none");
  EXPECT_NE(dropped.find(" verdict=ran status=200 "), std::string::npos) << dropped;
  EXPECT_NE(
      dropped.find(" next=answer attempt=1 retry_rule=at-most-once route_config=1 connection="),
      std::string::npos);
  EXPECT_NE(dropped.find(" earlier_exchanges=1 written_bytes="), std::string::npos);
  EXPECT_NE(dropped.find(" dropped_answers=1 answer_names=this signed=1 events="),
            std::string::npos);
  const auto refused = line("event=attempt id=id-c target=i-1 end=target-refused");
  EXPECT_NE(refused.find(" verdict=not-run status=503 "), std::string::npos);
  EXPECT_NE(refused.find(" earlier_exchanges=0 "), std::string::npos) << refused;
  EXPECT_NE(refused.find(" dropped_answers=0 answer_names=none signed=0 events="),
            std::string::npos);
  const auto metrics = Get(settings_.metrics, "/metrics").body;
  EXPECT_NE(metrics.find("unattributed_answers_total{service=\"s\",names=\"other\"} 1"),
            std::string::npos);
  EXPECT_NE(metrics.find("not_run_verdicts_total{source=\"target-status\"} 1"), std::string::npos);
  node_.reset();
}

// Guards against a request whose line names only the configuration at its end, although an earlier
// one has decided whether it may be repeated.
TEST_F(TargetTroubleTest, ARequestsLineNamesTheConfigurationOfItsRoute) {
  TargetStub target("i-1");
  target.SetBehaviour([this](const HttpRequest&, const HttpServer::Responder& respond) {
    store_.Put("op/config", Policy(2));
    EXPECT_TRUE(
        Eventually([&] { return log_capture_.Contains("configuration-applied version=2"); }));
    respond({});
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  Send("/book/x", "POST");
  EXPECT_TRUE(Eventually([&] {
    return log_capture_.Contains("retry_rule=at-most-once route_config=1 config=2");
  })) << log_capture_.Text();
}

// Guards against a caller who is told that its request has not run, or whose request runs at a
// second target, because the target wrote an earlier refusal once more on a connection in use.
TEST_P(RepeatedRefusalTest, DoesNotRefuseAnotherRequest) {
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(AnswerTo("id-a", "answer to a"));
    socket.ReadUntil("\r\n\r\n");
    socket.Send(GetParam());
    socket.ReadUntilClosed();
  });
  StartWith(target);
  EXPECT_EQ(SendWithId("id-a").body, "answer to a");
  // The target may be running the request.
  const auto answer = SendWithId("id-b");
  EXPECT_TRUE(answer.status == 502 || answer.status == 504) << answer.status;
  // The line is written after the answer.
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("verdict=may-have-run"); }));
  node_.reset();
}

INSTANTIATE_TEST_SUITE_P(
    Refusals, RepeatedRefusalTest,
    testing::Values(
        "HTTP/1.1 503 Full\r\nHeatherspan-Not-Executed: 1\r\nHeatherspan-Request-Id: id-0\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nHeatherspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 Full\r\nHeatherspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"));

/// The first lines of an answer that refuses the request id-a without its having run.
class RefusedAtOneAddressTest : public TargetTroubleTest,
                                public testing::WithParamInterface<const char*> {};

// Guards against a caller who is told "not run", or whose request runs at a third target, because
// the next instance at an address gets the request on the connection on which the first one's
// refusal arrives a second time: it names this very request.
TEST_P(RefusedAtOneAddressTest, ACopyOfTheRefusalIsNotTakenForTheNextInstances) {
  const auto refusal =
      std::string(GetParam()) + "Heatherspan-Request-Id: id-a\r\nContent-Length: 0\r\n\r\n";
  std::atomic<bool> reused = false;
  // A further connection is accepted by the machine and never answered.
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(refusal);
    reused = !socket.ReadUntil("\r\n\r\n").empty();
    socket.Send(refusal);
    socket.ReadUntilClosed();
  });
  settings_.bounds.retry_ratio = 2;
  StartWith(target);
  store_.Put("servers/i-2", target.Registration());
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("target-registered target=i-2"); }));
  const auto answer = SendWithId("id-a", "1500");
  // The next instance may be running the request.
  EXPECT_EQ(answer.status, 504);
  EXPECT_FALSE(reused);
  EXPECT_TRUE(log_capture_.Contains("next=retry"));
  node_.reset();
}

INSTANTIATE_TEST_SUITE_P(Refusals, RefusedAtOneAddressTest,
                         testing::Values("HTTP/1.1 503 Full\r\nHeatherspan-Not-Executed: 1\r\n",
                                         "HTTP/1.1 421 Other\r\n"));

// Guards against a request that is refused although it runs, because another VM passes it on to
// this one once more, and a copy of the first refusal names it.
TEST_F(TargetTroubleTest, ACopyOfTheRefusalIsNotTakenWhenAPeerPassesTheRequestOnAgain) {
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nHeatherspan-Not-Executed: 1\r\nHeatherspan-Request-Id: id-a\r\n"
      "Content-Length: 0\r\n\r\n";
  RawTarget target(2, [&, connections = 0](const RawSocket& socket) mutable {
    socket.ReadUntil("\r\n\r\n");
    if (++connections == 1) {
      socket.Send(
          "HTTP/1.1 200 OK\r\nConnection: close\r\nHeatherspan-Response-Signature: sig\r\n"
          "Heatherspan-Request-Id: id-0\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    socket.Send(refusal);
    // The request runs if it comes once more.
    socket.ReadUntil("\r\n\r\n");
    socket.Send(refusal);
    socket.ReadUntilClosed();
  });
  settings_.bounds.retry_ratio = 20;
  StartWith(target);
  // A caller's request brings the budget for retries, one that is passed on doesn't.
  EXPECT_EQ(SendWithId("id-0").status, 200);
  auto request = Request("/heatherspan/relay/book/x", "POST");
  for (auto& header : request.headers) {
    if (header.name == "Heatherspan-Request-Id") header.value = "id-a";
    if (header.name == "Heatherspan-Deadline-Ms") header.value = "1500";
  }
  request.headers.push_back({"Heatherspan-Relay-Arrivals", "0"});
  const auto first = caller_.SendAndWait(settings_.peers, request, kTimeout).response;
  EXPECT_EQ(first.Header("Heatherspan-Relay-Verdict"), "out-of-reach");
  const auto second = caller_.SendAndWait(settings_.peers, request, kTimeout).response;
  EXPECT_EQ(second.Header("Heatherspan-Relay-Verdict"), "may-have-run");
  node_.reset();
}

// Guards against a caller that names no request and gets the answer to another one, which names it.
TEST_F(TargetTroubleTest, ARequestWithoutAnIdGetsNoAnswerThatNamesAnother) {
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(AnswerTo("id-a", "answer to a"));
    socket.ReadUntil("\r\n\r\n");
    socket.Send(AnswerTo("id-a", "answer to a"));
    socket.ReadUntilClosed();
  });
  StartWith(target);
  EXPECT_EQ(SendWithId("id-a").body, "answer to a");
  auto request = Request("/book/x", "POST");
  std::erase_if(request.headers, [](const HeaderField& field) {
    return field.name == "Heatherspan-Request-Id" || field.name == "Heatherspan-Deadline-Ms";
  });
  request.headers.push_back({"Heatherspan-Deadline-Ms", "1500"});
  const auto answer = caller_.SendAndWait(settings_.callers, request, kTimeout).response;
  EXPECT_NE(answer.body, "answer to a") << answer.status;
  node_.reset();
}

/// A status that tells a caller that its request has not run.
class PromisingStatusTest : public TargetTroubleTest, public testing::WithParamInterface<int> {};

// Guards against a caller who is told "not run" of a request that has run: its target has answered
// with a status that promises that to callers, but does not say that it refused.
TEST_P(PromisingStatusTest, OfATargetThatMayHaveRunTheRequestIsNotPassedOn) {
  TargetStub target("i-1");
  TargetStub other("i-2");
  const auto behaviour = [](const HttpRequest& request, const HttpServer::Responder& respond) {
    HttpResponse response;
    response.status = GetParam();
    response.headers = {
        {"Heatherspan-Response-Signature", "sig"},
        {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
    respond(std::move(response));
  };
  target.SetBehaviour(behaviour);
  other.SetBehaviour(behaviour);
  store_.Put("op/config", Policy(1));
  Register(target);
  Register(other);
  Start();
  const auto answer = Send("/book/x", "POST").response;
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(answer.Header("Heatherspan-Response-Signature"), "");
  EXPECT_EQ(target.Requests().size() + other.Requests().size(), 1U);
  // A request that may be repeated has the target's own answer.
  EXPECT_EQ(Send("/read/x").response.status, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Statuses, PromisingStatusTest, testing::Values(408, 421, 429, 503));

// Guards against requests to a target that says in its answers that it leaves, because the store
// does not tell so, and against a request that waits although no other target is left.
TEST_F(TargetTroubleTest, ATargetThatSaysThatItLeavesGetsNothingMore) {
  TargetStub target("i-1");
  target.SetBehaviour([](const HttpRequest& request, const HttpServer::Responder& respond) {
    HttpResponse response;
    response.status = 500;
    response.headers = {
        {"Heatherspan-Response-Signature", "sig"},
        {"Server-Leaving", "1"},
        {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
    respond(std::move(response));
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  EXPECT_EQ(Send("/book/x", "POST").response.status, 500);
  EXPECT_TRUE(log_capture_.Contains("event=target-leaving target=i-1 source=answer age_ms=0"));
  Register(target);
  store_.Put("op/config", Policy(2));
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("configuration-applied version=2"); }));
  const auto sent_at = std::chrono::steady_clock::now();
  const auto answer = Send("/read/x").response;
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.Header("Retry-After"), "");
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, std::chrono::seconds(2));
  EXPECT_EQ(target.Requests().size(), 1U);
}

// Guards against requests to the only target during the pause that it has asked for, and against
// one that waits for the pause's end.
TEST_F(TargetTroubleTest, ATargetThatWantsAPauseGetsNothing) {
  TargetStub target("i-1");
  target.SetBehaviour([](const HttpRequest& request, const HttpServer::Responder& respond) {
    HttpResponse response;
    response.status = 503;
    response.headers = {
        {"Heatherspan-Not-Executed", "1"},
        {"Retry-After", "20"},
        {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
    respond(std::move(response));
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  EXPECT_EQ(Send("/read/x").response.status, 503);
  EXPECT_TRUE(log_capture_.Contains("event=target-paused target=i-1 source=answer wait_ms=20000"));
  const auto sent_at = std::chrono::steady_clock::now();
  const auto answer = Send("/book/x", "POST").response;
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(answer.Header("Retry-After"), "");
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, std::chrono::seconds(2));
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("reason=target-pause"); }));
  EXPECT_EQ(target.Requests().size(), 1U);
}

// Guards against a notice that is missed because the body of its answer breaks off.
TEST_F(TargetTroubleTest, ANoticeInAnAnswerThatBreaksOffCounts) {
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(
        "HTTP/1.1 200 OK\r\nHeatherspan-Response-Signature: sig\r\nServer-Leaving: 1\r\n"
        "Heatherspan-Request-Id: id-a\r\nContent-Length: 9\r\n\r\nhalf");
  });
  StartWith(target);
  EXPECT_EQ(SendWithId("id-a").status, 502);
  EXPECT_EQ(SendWithId("id-b").status, 503);
  node_.reset();
}

// Guards against a success with an empty or short body that is framed as whole, because the target
// broke off in the head of its answer.
TEST_F(TargetTroubleTest, AHeadThatBreaksOffIsNoSuccess) {
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(
        "HTTP/1.1 200 OK\r\nHeatherspan-Response-Signature: sig\r\n"
        "Heatherspan-Request-Id: id-a\r\n");
  });
  StartWith(target);
  EXPECT_EQ(SendWithId("id-a").status, 502);
  node_.reset();
}

// Guards against a caller who gets an answer that is none: a target in trouble signs one whose
// status is 000. The request may have run.
TEST_F(TargetTroubleTest, AnAnswerWithoutAStatusReachesNoCaller) {
  RawTarget target(1, [&](const RawSocket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(
        "HTTP/1.1 000 X\r\nHeatherspan-Response-Signature: sig\r\n"
        "Heatherspan-Request-Id: id-a\r\nContent-Length: 2\r\n\r\nab");
    // The connection carries no further request.
    socket.ReadUntilClosed();
  });
  StartWith(target);
  EXPECT_EQ(SendWithId("id-a").status, 502);
  node_.reset();
}

// Guards against requests that are taken late in the grace of a planned stop and cut at its end.
TEST_F(TargetTroubleTest, AStopAnswersEachRequestThatItTakes) {
  settings_.bounds.stop_grace = std::chrono::milliseconds(1500);
  TargetStub target("i-1");
  target.SetBehaviour([&target](const HttpRequest& request, const HttpServer::Responder& respond) {
    // Some answers never come.
    if (request.Header("Heatherspan-Request-Id").ends_with("7")) {
      target.Hold(respond);
      return;
    }
    HttpResponse response;
    response.headers = {
        {"Heatherspan-Response-Signature", "sig"},
        {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
    respond(std::move(response));
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  std::mutex mutex;
  std::set<std::string> unanswered;
  std::atomic<int> in_flight = 0;
  std::atomic<int> served_while_stopping = 0;
  node_->BeginStop();
  for (int i = 0; !stopped_; ++i) {
    const auto id = "id-" + std::to_string(i);
    auto request = Request(i % 2 == 0 ? "/book/x" : "/read/x", i % 2 == 0 ? "POST" : "GET");
    for (auto& header : request.headers) {
      if (header.name == "Heatherspan-Request-Id") header.value = id;
    }
    ++in_flight;
    caller_.Send(settings_.callers, request, kTimeout, [&, id](const HttpResult& result) {
      if (!result.status.ok()) {
        const std::lock_guard lock(mutex);
        unanswered.insert(id);
      }
      if (result.response.status == 200) ++served_while_stopping;
      --in_flight;
    });
    ASSERT_TRUE(Eventually([&] { return in_flight < 8; }));
  }
  ASSERT_TRUE(Eventually([&] { return in_flight == 0; }));
  // A request that crosses the close of its connection is not passed on.
  for (const auto& request : target.Requests()) {
    EXPECT_FALSE(unanswered.contains(std::string(request.Header("Heatherspan-Request-Id"))));
  }
  EXPECT_GT(served_while_stopping, 0);
}

// Guards against a planned stop that cuts requests which a caller has just sent ahead on one
// connection.
TEST_F(TargetTroubleTest, AStopAnswersPipelinedRequests) {
  TargetStub target("i-1");
  std::mutex mutex;
  std::vector<HttpServer::Responder> held;
  target.SetBehaviour([&](const HttpRequest& /*request*/, const HttpServer::Responder& respond) {
    const std::lock_guard lock(mutex);
    held.push_back(respond);
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  auto socket = RawSocket::Connect(settings_.callers);
  for (const auto* id : {"id-1", "id-2", "id-3"}) {
    socket.Send(
        fmt::format("GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
                    "Heatherspan-Request-Id: {}\r\nHeatherspan-Deadline-Ms: 4000\r\n\r\n",
                    id));
  }
  ASSERT_TRUE(Eventually([&] {
    const std::lock_guard lock(mutex);
    return held.size() == 3;
  }));
  node_->BeginStop();
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("event=stopping"); }));
  {
    const std::lock_guard lock(mutex);
    const auto requests = target.Requests();
    for (std::size_t i = held.size(); i-- > 0;) {
      HttpResponse response;
      response.headers = {
          {"Heatherspan-Response-Signature", "sig"},
          {"Heatherspan-Request-Id", std::string(requests[i].Header("Heatherspan-Request-Id"))}};
      response.body = "answer to " + std::string(requests[i].Header("Heatherspan-Request-Id"));
      held[i](std::move(response));
    }
  }
  const auto output = socket.ReadUntilClosed();
  EXPECT_LT(output.find("answer to id-1"), output.find("answer to id-2"));
  EXPECT_LT(output.find("answer to id-2"), output.find("answer to id-3"));
  EXPECT_NE(output.find("answer to id-3"), std::string::npos);
  EXPECT_GT(output.find("Connection: close"), output.find("answer to id-2"));
}

// Guards against a target that left while a VM was down and is in use again after its restart,
// because a peer that is cut off from the store still lists it.
TEST_F(TargetTroubleTest, ARestartDoesNotBringBackATargetThatLeft) {
  TargetStub left("i-1");
  TargetStub staying("i-2");
  store_.Put("op/config", Policy(1));
  Register(left);
  Register(staying);
  auto peer_settings = SecondNodeSettings();
  peer_settings.store = store_.second_endpoint();
  std::optional<EdgeNode<FleetPlatform>> peer;
  peer.emplace(peer_settings, log_, [] {});
  ASSERT_TRUE(peer->Start().ok());
  ASSERT_TRUE(Eventually([&] { return store_.Has("entry/n-2"); }));
  // The peer is cut off; the target leaves; this VM restarts and reads the store.
  store_.SetSecondSilent(true);
  store_.Remove("servers/i-1");
  settings_.seeds = {peer_settings.peers};
  Start();
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Send("/read/" + std::to_string(i)).response.status, 200);
  EXPECT_EQ(left.Requests().size(), 0U);
  EXPECT_EQ(staying.Requests().size(), 20U);
}

}  // namespace
}  // namespace heatherspan
