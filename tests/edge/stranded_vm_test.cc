#include <gmock/gmock.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

/// Two entry VMs that know each other. The first one reaches no target.
class StrandedVmTest : public EdgeNodeFixture {
 protected:
  static constexpr int kUnreachable = 6;

  ~StrandedVmTest() override { second_node_.reset(); }

  auto StartBoth(int unreachable = kUnreachable) -> void {
    store_.Put("op/config", Policy(1));
    RegisterUnreachable(unreachable);
    second_store_.Put("op/config", Policy(1));
    second_store_.Put("servers/" + target_.name(), target_.Registration());
    auto settings = SecondNodeSettings();
    settings.store = second_store_.endpoint();
    second_node_.emplace(settings, log_, [] {});
    ASSERT_TRUE(second_node_->Start().ok());
    ASSERT_TRUE(Eventually([&] { return second_store_.Has("entry/n-2"); }));
    store_.Put("entry/n-2", R"({"zone":"a","region":"r","callers":")" + settings.callers.Text() +
                                R"(","peers":")" + settings.peers.Text() + R"("})");
    Start();
  }

  /// The first one's targets take requests and answer only those of one path.
  auto StartWithSilentTargets(const std::string& answered) -> void {
    for (int i = 0; i < kUnreachable; ++i) {
      silent_.push_back(std::make_unique<TargetStub>("i-s" + std::to_string(i)));
      silent_.back()->SetBehaviour(
          [answered, target = silent_.back().get()](const HttpRequest& request,
                                                    const HttpServer::Responder& respond) {
            if (request.target == answered) {
              respond({});
            } else {
              target->Hold(respond);
            }
          });
      Register(*silent_.back());
    }
    StartBoth(0);
  }

  /// A newer configuration, without the route of "/book/".
  static auto PolicyWithoutUnsafeRoute(int version) -> std::string {
    auto policy = Policy(version);
    const std::string prefix = "/book/";
    return policy.replace(policy.find(prefix), prefix.size(), "/other/");
  }

  std::vector<std::unique_ptr<TargetStub>> silent_;
  KvStandin second_store_;
  TargetStub target_{"i-live"};
  std::optional<EdgeNode<FleetPlatform>> second_node_;
};

// Guards against callers of a VM that has lost its links to the targets being refused, although
// other VMs reach them.
TEST_F(StrandedVmTest, ServesThroughAPeer) {
  StartBoth();
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    if (Send("/read/x").response.status == 200) ++served;
    if (Send("/book/x", "POST").response.status == 200) ++served;
  }
  EXPECT_GE(served, 36);
}

// Guards against a request that ran at two VMs without a line about the second one.
TEST_F(StrandedVmTest, APeersAnswerToARepeatedRequestHasALine) {
  StartBoth();
  EXPECT_EQ(Send("/book/x", "POST").response.status, 200);
  EXPECT_TRUE(Eventually([&] {
    return log_capture_.Contains(
        "event=relayed-attempt id=id-7 vm=n-2 end=none received=ran verdict=ran status=200 ");
  })) << log_capture_.Text();
}

// Guards against links that take connections and requests, and answer none, being taken for slow
// targets.
TEST_F(StrandedVmTest, ServesThroughAPeerWhileItsLinksAreSilent) {
  StartWithSilentTargets({});
  const auto sent_at = std::chrono::steady_clock::now();
  while (Send("/read/x").response.status != 200) {
    ASSERT_LT(std::chrono::steady_clock::now() - sent_at, kTimeout);
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Send("/read/x").response.status, 200) << i;
}

// Guards against slow targets being taken for lost links.
TEST_F(StrandedVmTest, SlowTargetsThatAnswerProbesAreReached) {
  StartWithSilentTargets("/health");
  EXPECT_EQ(Send("/read/x").response.status, 504);
  EXPECT_THAT(target_.Requests(), testing::IsEmpty());
  EXPECT_FALSE(log_capture_.Contains("event=stranded"));
}

// Guards against a request that is changed on its way through a peer.
TEST_F(StrandedVmTest, ThePeerSendsTheRequestUnchanged) {
  StartBoth();
  auto request = Request("/book/x?y=1", "POST");
  request.body = std::string(200'000, 'b');
  const auto response = caller_.SendAndWait(settings_.callers, request, kTimeout).response;
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "answer");
  EXPECT_EQ(response.Header("Heatherspan-Response-Signature"), "sig");
  EXPECT_EQ(response.Header("Heatherspan-Relay-Verdict"), "");
  const auto seen = target_.Requests();
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].method, "POST");
  EXPECT_EQ(seen[0].target, "/book/x?y=1");
  EXPECT_EQ(seen[0].body, request.body);
  EXPECT_EQ(seen[0].Header("Heatherspan-Request-Id"), "id-7");
  EXPECT_EQ(seen[0].Header("Host"), "h.example");
  EXPECT_EQ(seen[0].Header("Cookie"), "Heatherspan-Affinity-Key=5");
  EXPECT_LE(std::stoi(std::string(seen[0].Header("Heatherspan-Deadline-Ms"))), 4000);
}

// Guards against a request that runs twice, or that is said not to have run, because its peer is
// lost with it.
TEST_F(StrandedVmTest, ARequestThatIsLostWithThePeerMayHaveRun) {
  StartBoth();
  Send("/book/x", "POST");
  std::mutex mutex;
  std::vector<HttpServer::Responder> held;
  std::atomic<bool> arrived = false;
  target_.SetBehaviour([&](const HttpRequest&, const HttpServer::Responder& respond) {
    const std::lock_guard lock(mutex);
    held.push_back(respond);
    arrived = true;
  });
  std::thread end([&] {
    EXPECT_TRUE(Eventually([&] { return arrived.load(); }));
    second_node_.reset();
  });
  EXPECT_EQ(Send("/book/x", "POST").response.status, 502);
  end.join();
  EXPECT_EQ(target_.Requests().size(), 2U);
}

// Guards against requests that are lost at a VM of an earlier build, which knows nothing of
// requests that are passed on, while the fleet is being upgraded.
TEST_F(StrandedVmTest, APeerThatKnowsNoRelaysLosesNoRequest) {
  WorkerPool workers(1);
  HttpServer earlier(workers, HttpServer::Limits(),
                     [](const HttpRequest& /*request*/, const HttpServer::Responder& respond) {
                       HttpResponse response;
                       response.status = 404;
                       respond(std::move(response));
                     });
  ASSERT_TRUE(earlier.Listen(OwnEndpoint(14)).ok());
  store_.Put("entry/n-3", R"({"zone":"a","region":"r","callers":")" + OwnEndpoint(13).Text() +
                              R"(","peers":")" + OwnEndpoint(14).Text() + R"("})");
  StartBoth();
  while (!log_capture_.Contains("event=stranded ")) Send("/book/x", "POST");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Send("/book/x", "POST").response.status, 200) << i;
  workers.Stop();
}

// Guards against a caller who may not come back although nothing has run its request: the refusal
// of the peer does not name the request, and comes on a connection that has been used.
TEST_F(StrandedVmTest, ARefusalOfThePeerIsARefusal) {
  StartBoth();
  while (!log_capture_.Contains("event=stranded ")) Send("/book/x", "POST");
  ASSERT_EQ(Send("/book/x", "POST").response.status, 200);
  target_.SetBehaviour([](const HttpRequest& request, const HttpServer::Responder& respond) {
    HttpResponse response;
    response.status = 503;
    response.headers = {
        {"Heatherspan-Not-Executed", "1"},
        {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
    respond(std::move(response));
  });
  for (int i = 0; i < 5; ++i) {
    const auto response = Send("/book/x", "POST").response;
    EXPECT_EQ(response.status, 503) << i;
    EXPECT_NE(response.Header("Retry-After"), "");
  }
}

// Guards against a caller who is told that its path is unknown, although only the peer does not
// know it yet.
TEST_F(StrandedVmTest, APathThatOnlyThePeerDoesNotKnowIsRefused) {
  StartBoth();
  while (!log_capture_.Contains("event=stranded ")) Send("/book/x", "POST");
  second_store_.Put("op/config", PolicyWithoutUnsafeRoute(2));
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("configuration-applied version=2"); }));
  for (int i = 0; i < 5; ++i) {
    const auto response = Send("/book/x", "POST").response;
    EXPECT_EQ(response.status, 503) << i;
    EXPECT_NE(response.Header("Retry-After"), "");
  }
  EXPECT_TRUE(log_capture_.Contains("reason=unknown-route"));
}

// Guards against requests that go round between VMs of which none reaches a target.
TEST_F(StrandedVmTest, NobodyPassesOnWhatWasPassedOn) {
  StartBoth();
  second_store_.Remove("servers/" + target_.name());
  EXPECT_TRUE(Eventually([&] { return Send("/read/x").response.status == 503; }));
  const auto sent_at = std::chrono::steady_clock::now();
  const auto response = Send("/read/x").response;
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(response.Header("Retry-After"), "");
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, std::chrono::seconds(1));
}

}  // namespace
}  // namespace heatherspan
