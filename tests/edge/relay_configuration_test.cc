#include <optional>
#include <string>

#include "edge_node_fixture.h"
#include "scripted_peer.h"

namespace heatherspan {
namespace {

/// Entry VMs that have different configurations, one of which passes requests on.
class RelayConfigurationTest : public EdgeNodeFixture {
 protected:
  /// Sends what another VM passes on, with what that VM says of its configuration.
  auto PassOn(const std::vector<HeaderField>& fields) -> HttpResponse {
    auto request = Request("/heatherspan/relay/read/x");
    request.headers.push_back({"Heatherspan-Relay-Arrivals", "0"});
    for (const auto& field : fields) request.headers.push_back(field);
    return caller_.SendAndWait(settings_.peers, request, kTimeout).response;
  }
};

// Guards against a request that runs by an older configuration than that of the VM which passes it
// on, or outside the homes that this VM knows.
TEST_F(RelayConfigurationTest, BothVmsConfigurationsBind) {
  const TargetStub target("i-1");
  Register(target);
  store_.Put("op/config", Policy(2));
  Start();
  for (const auto& field :
       {HeaderField{"Heatherspan-Relay-Config", "3"}, {"Heatherspan-Relay-Homes", "elsewhere"}}) {
    const auto answer = PassOn({field});
    EXPECT_EQ(answer.status, 503) << field.name;
    EXPECT_EQ(answer.Header("Heatherspan-Relay-Verdict"), "out-of-reach") << field.name;
  }
  EXPECT_TRUE(target.Requests().empty());
  const auto answer =
      PassOn({{"Heatherspan-Relay-Config", "1"}, {"Heatherspan-Relay-Homes", "elsewhere,r"}});
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.Header("Heatherspan-Relay-Config"), "2");
  // An earlier build says nothing of either.
  EXPECT_EQ(PassOn({}).status, 200);
  ASSERT_EQ(target.Requests().size(), 2U);
  EXPECT_EQ(target.Requests().front().Header("Heatherspan-Relay-Config"), "");
  EXPECT_EQ(target.Requests().front().Header("Heatherspan-Relay-Homes"), "");
  node_.reset();
}

// Guards against callers of a VM without links who meet a newer configuration at one peer and an
// older one again at the next.
TEST_F(RelayConfigurationTest, StatesTheLatestThatItsCallersHaveMet) {
  constexpr int kUnreachable = 6;
  ScriptedPeer peer([](const std::string& id) {
    auto answer = ScriptedPeer::Served(id);
    const std::string end = "\r\n\r\n";
    return answer.replace(answer.rfind(end), end.size(), "\r\nHeatherspan-Relay-Config: 7\r\n\r\n");
  });
  auto policy = Policy(1);
  const std::string attempts = R"("max_attempts":2,)";
  policy.replace(policy.find(attempts), attempts.size(),
                 R"("max_attempts":2,"allowed_regions":["r","s,t"],)");
  store_.Put("op/config", policy);
  RegisterUnreachable(kUnreachable);
  store_.Put("entry/n-3", peer.Announcement());
  Start();
  ASSERT_TRUE(Eventually([&] { return Send("/read/x").response.status == 200; }));
  Send("/read/x");
  const auto heads = peer.Requests("id-7");
  ASSERT_GE(heads.size(), 2U);
  EXPECT_NE(heads.front().find("Heatherspan-Relay-Config: 1\r\n"), std::string::npos);
  EXPECT_NE(heads.front().find("Heatherspan-Relay-Homes: r,s%2Ct\r\n"), std::string::npos);
  EXPECT_NE(heads.back().find("Heatherspan-Relay-Config: 7\r\n"), std::string::npos);
  node_.reset();
}

}  // namespace
}  // namespace heatherspan
