#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EdgeNodeTest : public EdgeNodeFixture {};

TEST_F(EdgeNodeTest, ForwardsARequestToATarget) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  const auto result = Send("/read/x?y=z");
  EXPECT_EQ(result.response.status, 200);
  EXPECT_EQ(result.response.body, "answer");
  EXPECT_EQ(result.response.Header("Heatherspan-Response-Signature"), "sig");
  ASSERT_EQ(target.Requests().size(), 1U);
  EXPECT_EQ(target.Requests()[0].target, "/read/x?y=z");
  EXPECT_EQ(target.Requests()[0].Header("Heatherspan-Expected-Instance"), "i-1");
  EXPECT_EQ(target.Requests()[0].Header("Host"), "h.example");
  EXPECT_EQ(Get(settings_.readiness, "/heatherspan/ready").status, 200);
  const auto expected_answer =
      R"({"addresses":[")" + settings_.callers.Text() + R"("],"ttl_s":2.0})";
  EXPECT_TRUE(Eventually([&] {
    return Get(settings_.directory, "/heatherspan/resolve?name=h.example&region=r&zone=a").body ==
           expected_answer;
  }));
  EXPECT_NE(Get(settings_.metrics, "/metrics").body.find("heatherspan_requests_total"),
            std::string::npos);
}

// Guards against an upgrade in which nobody can tell which VM runs which build.
TEST_F(EdgeNodeTest, NamesItsBuildInMetricsAndLog) {
  store_.Put("op/config", Policy(1));
  Start();
  const std::string version(BuildVersion());
  EXPECT_NE(Get(settings_.metrics, "/metrics")
                .body.find("heatherspan_build_info{version=\"" + version + "\"} 1"),
            std::string::npos);
  node_.reset();
  EXPECT_NE(log_capture_.Text().find("build=" + version), std::string::npos);
}

// Guards against requests that can't be traced: each request writes a log line with its id and the
// inputs of the decision.
TEST_F(EdgeNodeTest, LogsEachRequest) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(3));
  Register(target);
  Start();
  Send("/read/x");
  Send("/nowhere/x");
  node_.reset();
  const auto log_text = log_capture_.Text();
  EXPECT_NE(log_text.find("event=request id=id-7 route=read service=s"), std::string::npos)
      << log_text;
  EXPECT_NE(log_text.find("outcome=served status=200 reason=none verdict=ran"), std::string::npos);
  EXPECT_NE(log_text.find("event=request id=id-7 outcome=rejected status=404 reason=unknown-route"),
            std::string::npos);
  EXPECT_NE(log_text.find("event=configuration-applied version=3"), std::string::npos);
}

// Guards against a limit of a target that can't be told from its absence afterwards.
TEST_F(EdgeNodeTest, LogsTheLimitOfATargetWhenItChanges) {
  TargetStub target("i-1");
  target.SetBehaviour(NameLimit("1000.5"));
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  EXPECT_EQ(Send("/read/x").response.status, 200);
  target.SetBehaviour(NameLimit(""));
  EXPECT_TRUE(Eventually([&] {
    Send("/read/x");
    return log_capture_.Contains("event=target-limit target=i-1 service=s limited=0");
  }));
  const auto text = log_capture_.Text();
  const std::string named = "event=target-limit target=i-1 service=s limited=1 limit_rps=1000.5";
  const auto first = text.find(named);
  EXPECT_NE(first, std::string::npos) << text;
  EXPECT_EQ(text.find(named, first + 1), std::string::npos);
}

// Guards against a request that is sent above the limit of the only target, and against one that
// waits for its turn until its deadline.
TEST_F(EdgeNodeTest, RefusesAtOnceWhatALimitedTargetDoesNotTake) {
  TargetStub target("i-1");
  target.SetBehaviour(NameLimit("0.01"));
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  EXPECT_EQ(Send("/read/x").response.status, 200);
  const auto refused = Send("/read/x").response;
  EXPECT_EQ(refused.status, 503);
  EXPECT_FALSE(refused.Header("Retry-After").empty());
  EXPECT_EQ(target.Requests().size(), 1U);
  EXPECT_TRUE(Eventually(
      [&] { return log_capture_.Contains("reason=target-limit verdict=not-run ms=0"); }));
}

// Guards against an entry VM that sends without limit until it has an answer of its own, although
// another VM knows the limit.
TEST_F(EdgeNodeTest, HearsOfALimitFromAnotherVm) {
  TargetStub target("i-1");
  target.SetBehaviour(NameLimit("0.5"));
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  const auto settings = SecondNodeSettings();
  LogCapture capture;
  std::ostream stream(&capture);
  EventLog log(LogLevel::kInfo, stream);
  EdgeNode<FleetPlatform> second(settings, log, [] {});
  ASSERT_TRUE(second.Start().ok());
  ASSERT_TRUE(Eventually([&] { return store_.Has("entry/n-2"); }));
  EXPECT_EQ(Send("/read/x").response.status, 200);
  EXPECT_TRUE(Eventually([&] {
    return capture.Contains("event=target-limit-heard target=i-1 limited=1 limit_rps=0.5");
  })) << capture.Text();
  EXPECT_EQ(caller_.SendAndWait(settings.callers, Request("/read/x"), kTimeout).response.status,
            503);
  EXPECT_EQ(target.Requests().size(), 1U);
}

// Guards against a process that reports itself ready before it knows the configuration, and against
// status 404 for routes that are not yet known.
TEST_F(EdgeNodeTest, RefusesWithoutAConfiguration) {
  node_.emplace(settings_, log_, [] {});
  ASSERT_TRUE(node_->Start().ok());
  EXPECT_EQ(Get(settings_.readiness, "/heatherspan/ready").status, 503);
  const auto result = Send("/read/x");
  EXPECT_EQ(result.response.status, 503);
  EXPECT_NE(result.response.Header("Retry-After"), "");
}

// Guards against a refusal that reaches the caller although another target has capacity.
TEST_F(EdgeNodeTest, RetriesARefusedRequestAtAnotherTarget) {
  settings_.bounds.retry_ratio = 2;
  TargetStub full("i-2");
  TargetStub free("i-1");
  full.SetBehaviour(Refuse);
  store_.Put("op/config", Policy(1));
  Register(full);
  Register(free);
  Start();
  for (int i = 0; i < 4; ++i) EXPECT_EQ(Send("/book/x", "POST").response.status, 200);
  EXPECT_EQ(free.Requests().size(), 4U);
  EXPECT_GE(full.Requests().size(), 1U);
}

// Guards against an unsafe request that runs twice, and against a "not run" answer to a request
// that may have run.
TEST_F(EdgeNodeTest, DoesNotRetryAnUnsafeRequestThatMayHaveRun) {
  TargetStub one("i-1");
  TargetStub two("i-2");
  std::vector<HttpServer::Responder> held_responders;
  for (auto* target : {&one, &two}) {
    target->SetBehaviour(
        [target, &held_responders](const HttpRequest&, const HttpServer::Responder& respond) {
          held_responders.push_back(respond);
          target->Close();
        });
  }
  store_.Put("op/config", Policy(1));
  Register(one);
  Register(two);
  Start();
  EXPECT_EQ(Send("/book/x", "POST").response.status, 502);
  EXPECT_EQ(one.Requests().size() + two.Requests().size(), 1U);
}

// Guards against a failure answer after all targets refused: the request has not run.
TEST_F(EdgeNodeTest, RefusesARequestThatAllTargetsRefused) {
  TargetStub full("i-1");
  full.SetBehaviour(Refuse);
  store_.Put("op/config", Policy(1));
  Register(full);
  Start();
  const auto result = Send("/book/x", "POST");
  EXPECT_EQ(result.response.status, 503);
  EXPECT_NE(result.response.Header("Retry-After"), "");
}

// Guards against new requests to a leaving target.
TEST_F(EdgeNodeTest, SendsNothingToALeavingTarget) {
  TargetStub leaving("i-1");
  TargetStub staying("i-2");
  store_.Put("op/config", Policy(1));
  Register(leaving);
  Register(staying);
  Start();
  Register(leaving, "draining");
  // Changes are applied in order, so version 2 comes into force after the target is draining.
  store_.Put("op/config", Policy(2));
  ASSERT_TRUE(Eventually([&] {
    return Get(settings_.metrics, "/metrics").body.find("heatherspan_config_version 2") !=
           std::string::npos;
  }));
  const auto before = leaving.Requests().size();
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Send("/read/" + std::to_string(i)).response.status, 200);
  EXPECT_EQ(leaving.Requests().size(), before);
}

// Guards against an older configuration that replaces a newer one.
TEST_F(EdgeNodeTest, IgnoresAnOlderConfiguration) {
  TargetStub target("i-1");
  Register(target);
  store_.Put("op/config", Policy(5));
  Start();
  store_.Put("op/config", Policy(4, "other"));
  store_.Put("op/evacuate/zz", "{}");
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("zone=zz"); }));
  EXPECT_EQ(Send("/read/x").response.status, 200);
}

// Guards against a configuration that is not in force because all versions since the one before are
// more than the node reads at once.
TEST_F(EdgeNodeTest, AppliesTheLastOfManyLargeConfigurations) {
  constexpr int kLastVersion = 14;
  store_.Put("op/config", Policy(1));
  Start();
  const std::string padding(std::size_t{700} * 1000, ' ');
  for (int version = 2; version <= kLastVersion; ++version) {
    store_.Put("op/config", Policy(version) + padding);
  }
  EXPECT_TRUE(Eventually([&] {
    return Get(settings_.metrics, "/metrics")
               .body.find("heatherspan_config_version " + std::to_string(kLastVersion)) !=
           std::string::npos;
  }));
  EXPECT_TRUE(log_capture_.Contains("event=store-changes-too-large"));
  EXPECT_FALSE(log_capture_.Contains("event=store-lost"));
}

// Guards against a target that continues to process a request whose caller has disconnected.
TEST_F(EdgeNodeTest, CancelsTheAttemptWhenTheCallerDisconnects) {
  TargetStub target("i-1");
  std::vector<HttpServer::Responder> held_responders;
  target.SetBehaviour([&held_responders](const HttpRequest&, const HttpServer::Responder& respond) {
    held_responders.push_back(respond);
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  const auto exchange =
      caller_.Send(settings_.callers, Request("/read/x"), kTimeout, [](const HttpResult&) {});
  ASSERT_TRUE(Eventually([&] { return target.Requests().size() == 1; }));
  exchange->Cancel();
  EXPECT_TRUE(Eventually([&] { return target.Disconnects() == 1; }));
}

// Guards against a stop that aborts requests in flight, and against a stop that is announced too
// late.
TEST_F(EdgeNodeTest, StopCompletesRequestsInFlight) {
  TargetStub target("i-1");
  HttpServer::Responder held_responder;
  std::atomic<bool> has_request = false;
  target.SetBehaviour([&](const HttpRequest&, const HttpServer::Responder& respond) {
    held_responder = respond;
    has_request = true;
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  std::atomic<int> status = 0;
  caller_.Send(settings_.callers, Request("/read/x"), kTimeout,
               [&](const HttpResult& result) { status = result.response.status; });
  ASSERT_TRUE(Eventually([&] { return has_request.load(); }));
  node_->BeginStop();
  EXPECT_TRUE(Eventually([&] { return !store_.Has("entry/n"); }));
  EXPECT_EQ(Get(settings_.readiness, "/heatherspan/ready").status, 503);
  EXPECT_FALSE(stopped_);
  HttpResponse response;
  response.headers = {{"Heatherspan-Response-Signature", "sig"},
                      {"Heatherspan-Request-Id", "id-7"}};
  held_responder(std::move(response));
  EXPECT_TRUE(Eventually([&] { return status.load() == 200; }));
  EXPECT_TRUE(Eventually([&] { return stopped_.load(); }));
}

// Guards against a stop that exceeds its grace and leaves a caller without an answer.
TEST_F(EdgeNodeTest, StopAnswersRequestsThatOutlastTheGrace) {
  settings_.bounds.stop_grace = seconds(1);
  TargetStub target("i-1");
  HttpServer::Responder held_responder;
  std::atomic<bool> has_request = false;
  target.SetBehaviour([&](const HttpRequest&, const HttpServer::Responder& respond) {
    held_responder = respond;
    has_request = true;
  });
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  std::atomic<int> status = 0;
  caller_.Send(settings_.callers, Request("/book/x", "POST"), kTimeout,
               [&](const HttpResult& result) { status = result.response.status; });
  ASSERT_TRUE(Eventually([&] { return has_request.load(); }));
  node_->BeginStop();
  EXPECT_TRUE(Eventually([&] { return stopped_.load(); }));
  EXPECT_EQ(status.load(), 504);
}

// Guards against an entry VM that refuses all requests after a restart while the store is
// unreachable, although its peers know the configuration and the targets.
TEST_F(EdgeNodeTest, RestartWithoutTheStoreUsesThePeerState) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(7));
  Register(target);
  Start();
  ASSERT_EQ(Send("/read/x").response.status, 200);

  auto settings = SecondNodeSettings();
  settings.store = OwnEndpoint(11);  // No process listens there.
  settings.seeds = {OwnEndpoint(12), settings_.peers};
  EdgeNode<FleetPlatform> restarted(settings, log_, [] {});
  ASSERT_TRUE(restarted.Start().ok());
  EXPECT_TRUE(
      Eventually([&] { return Get(settings.readiness, "/heatherspan/ready").status == 200; }));
  EXPECT_EQ(caller_.SendAndWait(settings.callers, Request("/read/x"), kTimeout).response.status,
            200);
  EXPECT_TRUE(log_capture_.Contains("event=peer-state-applied peer=" + settings_.peers.Text()));
}

// Guards against an entry VM that refuses all requests until its first call of a silent store times
// out, although its peers know the configuration.
TEST_F(EdgeNodeTest, RestartWithASilentStoreDoesNotWaitForItsTimeout) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(7));
  Register(target);
  Start();
  store_.SetSecondSilent(true);
  auto settings = SecondNodeSettings();
  settings.store = store_.second_endpoint();
  settings.seeds = {settings_.peers};
  LogCapture capture;
  std::ostream stream(&capture);
  EventLog log(LogLevel::kInfo, stream);
  EdgeNode<FleetPlatform> restarted(settings, log, [] {});
  ASSERT_TRUE(restarted.Start().ok());
  EXPECT_TRUE(
      Eventually([&] { return Get(settings.readiness, "/heatherspan/ready").status == 200; }));
  EXPECT_TRUE(capture.Contains("event=peer-state-applied"));
  EXPECT_FALSE(capture.Contains("event=store-lost"));
}

// Guards against an entry VM that goes on with an old configuration, an evacuated zone and a target
// that has left, because the store leaves its calls without an answer while it serves other VMs.
TEST_F(EdgeNodeTest, LearnsFromAPeerWhatTheStoreDoesNotTellIt) {
  TargetStub leaving("i-1");
  TargetStub staying("i-2");
  store_.Put("op/config", Policy(1));
  Register(leaving);
  Register(staying);
  Start();
  auto settings = SecondNodeSettings();
  settings.store = store_.second_endpoint();
  LogCapture capture;
  std::ostream stream(&capture);
  EventLog log(LogLevel::kInfo, stream);
  EdgeNode<FleetPlatform> second(settings, log, [] {});
  ASSERT_TRUE(second.Start().ok());
  ASSERT_TRUE(Eventually([&] { return store_.Has("entry/n-2"); }));
  store_.SetSecondSilent(true);
  store_.Put("op/config", Policy(2, "t"));
  store_.Remove("servers/i-1");
  store_.Put("op/evacuate/a", "{}");
  EXPECT_TRUE(Eventually([&] {
    return capture.Contains("event=configuration-applied version=2") &&
           capture.Contains("event=target-removed target=i-1 in_doubt=0") &&
           capture.Contains("event=evacuation zone=a evacuated=1") &&
           capture.Contains("event=peer-changes-applied peer=" + settings_.peers.Text()) &&
           capture.Contains(" age_ms=");
  })) << capture.Text();
  EXPECT_TRUE(Eventually([&] {
    return Get(settings.metrics, "/metrics").body.find("heatherspan_input_age_seconds{") !=
           std::string::npos;
  }));
}

// Guards against a node that gives an incomplete listing to its peers as the state of the store.
TEST_F(EdgeNodeTest, GivesNoStateToPeersBeforeACompleteListing) {
  settings_.store = OwnEndpoint(11);
  node_.emplace(settings_, log_, [] {});
  ASSERT_TRUE(node_->Start().ok());
  EXPECT_EQ(Get(settings_.peers, "/heatherspan/kv-range").status, 503);
  EXPECT_EQ(Get(settings_.peers, "/heatherspan/kv-watch?path_prefix=&after=1&wait_ms=0").status,
            503);
  EXPECT_EQ(Get(settings_.peers, "/elsewhere").status, 404);
}

// Guards against caller connections that use all descriptors and leave none for targets and the
// store.
TEST_F(EdgeNodeTest, ReservesDescriptorsForTargets) {
  TargetStub target("i-1");
  settings_.descriptors = 203;  // Two connections for callers, one for the node.
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  HttpClient first(caller_workers_, HttpClient::Limits{.forward_host = true});
  HttpClient second(caller_workers_, HttpClient::Limits{.forward_host = true});
  HttpClient third(caller_workers_, HttpClient::Limits{.forward_host = true});
  target.SetBehaviour([&](const HttpRequest& /*request*/, const HttpServer::Responder& respond) {
    target.Hold(respond);
  });
  // Connections that are idle would give way.
  for (auto* const client : {&first, &second}) {
    client->Send(settings_.callers, Request("/read/x"), kTimeout, [](const HttpResult&) {});
  }
  ASSERT_TRUE(Eventually([&] { return target.Requests().size() == 2; }));
  EXPECT_EQ(third.SendAndWait(settings_.callers, Request("/read/x"), kTimeout).response.status,
            503);
  EXPECT_EQ(target.Requests().size(), 2U);
}

// Guards against a gateway that stops serving while the store is unreachable, and against one that
// does not reconnect to the store.
TEST_F(EdgeNodeTest, ServesWithoutTheStoreAndReconnects) {
  TargetStub target("i-1");
  store_.Put("op/config", Policy(1));
  Register(target);
  Start();
  store_.SetDown(true);
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("store-lost"); }));
  EXPECT_EQ(Send("/read/x").response.status, 200);
  store_.SetDown(false);
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("store-regained"); }));
}

}  // namespace
}  // namespace heatherspan
