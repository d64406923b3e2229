#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "edge_node_fixture.h"

namespace heatherspan {
namespace {

constexpr int kTargets = 8;
constexpr const char* kHarmfulPath = "/read/harmful";

/// Targets that end when they begin to run one request, in front of one gateway process.
class HarmfulRequestTest : public EdgeNodeFixture {
 protected:
  ~HarmfulRequestTest() override {
    node_.reset();
    for (auto& thread : ends_) thread.join();
  }

  auto StartTargets() -> void {
    store_.Put("op/config", Policy(1));
    for (int i = 0; i < kTargets; ++i) Register(AddTarget("i-" + std::to_string(i)));
    Start();
  }

  auto AddTarget(const std::string& name) -> TargetStub& {
    auto& target = *targets_.emplace_back(std::make_unique<TargetStub>(name));
    target.SetBehaviour(
        [this, &target](const HttpRequest& request, const HttpServer::Responder& respond) {
          if (request.target.find("harmful") != std::string::npos) {
            End(target, respond);
          } else {
            Answer(request, respond);
          }
        });
    return target;
  }

  static auto Answer(const HttpRequest& request, const HttpServer::Responder& respond) -> void {
    HttpResponse response;
    response.headers = {
        {"Heatherspan-Response-Signature", "s"},
        {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
    respond(std::move(response));
  }

  auto End(TargetStub& target, const HttpServer::Responder& respond) -> void {
    const std::lock_guard lock(mutex_);
    target.Hold(respond);
    ++ended_;
    ends_.emplace_back([&target] { target.Close(); });
  }

  auto ended() -> int {
    const std::lock_guard lock(mutex_);
    return ended_;
  }

  std::mutex mutex_;
  int ended_ = 0;
  std::vector<std::thread> ends_;
  std::vector<std::unique_ptr<TargetStub>> targets_;
};

// Guards against a request that comes again and ends target after target.
TEST_F(HarmfulRequestTest, EndsThreeTargetsAtMost) {
  StartTargets();
  for (int i = 0; i < kTargets; ++i) Send(kHarmfulPath);
  EXPECT_LE(ended(), 3);
  EXPECT_EQ(Send("/read/harmless").response.status, 200);
}

// Guards against a caller that is invited to send a harmful request again.
TEST_F(HarmfulRequestTest, IsRefusedForGood) {
  StartTargets();
  for (int i = 0; i < kTargets; ++i) Send(kHarmfulPath);
  const auto response = Send(kHarmfulPath).response;
  EXPECT_EQ(response.status, 400);
  EXPECT_TRUE(response.Header("Retry-After").empty());
  EXPECT_TRUE(Eventually([&] { return log_capture_.Contains("standing=condemned"); }));
}

// Guards against a condemned request that nobody can judge afterwards.
TEST_F(HarmfulRequestTest, TheLogHoldsTheEvidence) {
  StartTargets();
  for (int i = 0; i < kTargets; ++i) Send(kHarmfulPath);
  const auto text = log_capture_.Text();
  const auto begin = text.find("event=request-condemned ");
  ASSERT_NE(begin, std::string::npos) << text;
  const auto line = text.substr(begin, text.find('\n', begin) - begin);
  EXPECT_NE(line.find("crashes=3 unexplained=3 chance="), std::string::npos) << line;
  std::size_t crashes = 0;
  for (auto at = line.find("target=i-"); at != std::string::npos;
       at = line.find("target=i-", at + 1)) {
    ++crashes;
  }
  EXPECT_EQ(crashes, 3U) << line;
  for (const auto* field :
       {" start=", " endpoint=127.", " age_ms=", " at_target_ms=", " observer=n explained=0"}) {
    EXPECT_NE(line.find(field), std::string::npos) << field << " in " << line;
  }
  // Once, however often the request is refused.
  EXPECT_EQ(text.find("event=request-condemned ", begin + 1), std::string::npos) << text;
}

// Guards against VMs that reach the store by different addresses and name a harmful request
// differently.
TEST_F(HarmfulRequestTest, VmsWithDifferentStoreAddressesAgreeOnIt) {
  StartTargets();
  KvStandin other_store;
  other_store.Put("op/config", Policy(1));
  const auto& target = AddTarget("i-other");
  other_store.Put("servers/" + target.name(), target.Registration());
  auto settings = SecondNodeSettings();
  settings.store = other_store.endpoint();
  EdgeNode<FleetPlatform> other(settings, log_, [] {});
  ASSERT_TRUE(other.Start().ok());
  ASSERT_TRUE(Eventually([&] { return other_store.Has("entry/n-2"); }));
  const auto entry = [](const EdgeSettings& of) {
    return R"({"zone":"a","region":"r","callers":")" + of.callers.Text() + R"(","peers":")" +
           of.peers.Text() + R"("})";
  };
  store_.Put("entry/n-2", entry(settings));
  other_store.Put("entry/n", entry(settings_));
  for (int i = 0; i < kTargets; ++i) Send(kHarmfulPath);
  const auto before = ended();
  EXPECT_TRUE(Eventually([&] {
    return Get(settings.metrics, "/suspects").body.find("condemned") != std::string::npos;
  }));
  EXPECT_EQ(caller_.SendAndWait(settings.callers, Request(kHarmfulPath), kTimeout).response.status,
            400);
  EXPECT_EQ(ended(), before);
}

// Guards against an operator who can neither see nor undo what is refused.
TEST_F(HarmfulRequestTest, AnOperatorSeesAndLiftsIt) {
  StartTargets();
  for (int i = 0; i < kTargets; ++i) Send(kHarmfulPath);
  const auto listing = Get(settings_.metrics, "/suspects").body;
  EXPECT_NE(listing.find("standing=condemned crashes=3"), std::string::npos) << listing;
  const auto before = ended();
  HttpRequest lift;
  lift.method = "DELETE";
  lift.target = "/suspects/" + listing.substr(listing.find('=') + 1, 32);
  EXPECT_EQ(caller_.SendAndWait(settings_.metrics, lift, kTimeout).response.status, 200);
  EXPECT_EQ(Get(settings_.metrics, "/suspects").body, "");
  Send(kHarmfulPath);
  EXPECT_GT(ended(), before);
}

}  // namespace
}  // namespace heatherspan
