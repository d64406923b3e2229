#include "soak/fault_proxy.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "fleet_standins/kv_standin.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "soak/connection_owner.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FaultProxyTest : public testing::Test {
 protected:
  explicit FaultProxyTest(FaultProxy::PartyOf party_of = {})
      : proxy_(proxy_workers_, OwnEndpoint(), store_.endpoint(), std::move(party_of)) {}

  ~FaultProxyTest() override {
    client_workers_.Stop();
    proxy_workers_.Stop();
  }

  /// A loopback address of this process alone.
  static auto OwnEndpoint() -> Endpoint {
    constexpr int kOctets = 250;
    const int process = ::getpid();
    return {"127." + std::to_string(process / kOctets % kOctets + 1) + "." +
                std::to_string(process % kOctets + 1) + ".9",
            18080};
  }

  auto Ask(Duration timeout = seconds(5)) -> absl::Status {
    HttpRequest request;
    request.target = "/kv-range";
    return client_.SendAndWait(OwnEndpoint(), request, timeout).status;
  }

  KvStandin store_;
  WorkerPool proxy_workers_{1};
  WorkerPool client_workers_{1};
  HttpClient client_{client_workers_, {.unacknowledged_timeout = milliseconds(1500)}};
  FaultProxy proxy_;
};

// Guards against a reset that leaves the proxy or the client with a connection that carries
// nothing.
TEST_F(FaultProxyTest, AnIdleConnectionThatIsResetIsReplaced) {
  for (int i = 0; i < 200; ++i) {
    ASSERT_TRUE(Ask().ok());
    proxy_.ResetConnections();
    const auto status = Ask();
    EXPECT_FALSE(absl::IsDeadlineExceeded(status)) << i << ": " << status;
  }
}

// Guards against a bounded link that carries all at once.
TEST_F(FaultProxyTest, ABoundedLinkTakesItsTime) {
  ASSERT_TRUE(Ask().ok());
  proxy_.SetBehaviour({.bytes_per_second = 1});
  EXPECT_FALSE(Ask(milliseconds(300)).ok());
  proxy_.SetBehaviour({.bytes_per_second = 1e6});
  proxy_.ResetConnections();
  EXPECT_TRUE(Ask().ok());
}

// Guards against a drawn harm that leaves responses as they are.
TEST_F(FaultProxyTest, StrayBytesHarmSomeResponses) {
  proxy_.SetBehaviour({.spoil = FaultProxy::Spoil::kStray, .seed = 1});
  int harmed = 0;
  for (int i = 0; i < 100; ++i) harmed += Ask(milliseconds(300)).ok() ? 0 : 1;
  EXPECT_GT(harmed, 0);
  EXPECT_LT(harmed, 100);
}

class CutProxyTest : public FaultProxyTest {
 protected:
  static constexpr int kParty = 1;

  /// The proxy answers with a reset, where a connection that hangs would time out.
  auto IsReset() -> bool {
    const auto status = Ask();
    return !status.ok() && !absl::IsDeadlineExceeded(status);
  }
  auto Hangs() -> bool { return absl::IsDeadlineExceeded(Ask(milliseconds(300))); }

  CutProxyTest()
      : FaultProxyTest([](const Endpoint& client, const Endpoint& proxy) {
          return FindConnectionOwner(client, proxy, {0, ::getpid()});
        }) {}
};

// Guards against cuts of a party that leave its connections to targets as they were.
TEST_F(CutProxyTest, EachCutHarmsThePartysConnections) {
  // No bound on the time to find the connection's owner: it grows with the machine's connections.
  ASSERT_TRUE(Ask().ok());
  proxy_.SetCut(kParty, FaultProxy::Cut::kHang);
  EXPECT_TRUE(Hangs());
  proxy_.SetCut(kParty, FaultProxy::Cut::kNone);
  EXPECT_TRUE(Ask().ok());
  proxy_.SetCut(kParty, FaultProxy::Cut::kRefuseNew);
  EXPECT_TRUE(Ask().ok()) << "on the connection that is open";
  proxy_.ResetConnections();
  EXPECT_TRUE(IsReset());
  proxy_.SetCut(kParty, FaultProxy::Cut::kReset);
  EXPECT_TRUE(IsReset());
  proxy_.SetCut(kParty, FaultProxy::Cut::kNone);
  EXPECT_TRUE(Ask().ok());
}

// Guards against a cut of one party that harms others.
TEST_F(CutProxyTest, OtherPartiesAreServed) {
  proxy_.SetCut(kParty + 1, FaultProxy::Cut::kReset);
  EXPECT_TRUE(Ask().ok());
}

}  // namespace
}  // namespace heatherspan
