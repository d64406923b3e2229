#include <ostream>
#include <string>
#include <utility>

#include "edge_node_fixture.h"
#include "gateway/team_quota_budget.h"

namespace heatherspan {
namespace {

/// A configuration with a team of one request a second, of which one may come at once.
auto QuotaPolicy() -> std::string {
  auto text = Policy(1);
  text.insert(text.rfind("]}"), R"(,{"type":"tenants","metadata":{"name":"red"},
    "spec":{"api_keys":["secret-red"],"rate_per_s":1,"burst":1}})");
  return text;
}

class TeamQuotaTest : public EdgeNodeFixture {
 protected:
  auto SendWithKey(const Endpoint& callers) -> HttpResponse {
    auto request = Request("/read/x");
    request.headers.push_back({"Api-Key", "secret-red"});
    return caller_.SendAndWait(callers, request, kTimeout).response;
  }

  static constexpr TeamQuota kQuota = {RequestsPerSecond(1), 1};
};

// Guards against two VMs that each give a team its whole quota, and against a request over it that
// reaches a target.
TEST_F(TeamQuotaTest, TwoVmsTogetherStayWithinTheQuota) {
  TargetStub target("i-1");
  Register(target);
  store_.Put("op/config", QuotaPolicy());
  Start();
  const auto settings = SecondNodeSettings();
  EdgeNode<FleetPlatform> second(settings, log_, [] {});
  ASSERT_TRUE(second.Start().ok());
  for (const auto& callers : {settings_.callers, settings.callers}) {
    ASSERT_TRUE(Eventually([&] { return SendWithKey(callers).status == 200; }));
  }
  const auto before = target.Requests().size();
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  std::size_t served = 0;
  int refused = 0;
  while (std::chrono::steady_clock::now() < end) {
    for (const auto& callers : {settings_.callers, settings.callers}) {
      const auto response = SendWithKey(callers);
      if (response.status == 200) {
        ++served;
        continue;
      }
      ASSERT_EQ(response.status, 429);
      ASSERT_FALSE(response.Header("Retry-After").empty());
      ++refused;
    }
  }
  EXPECT_GT(refused, 0);
  EXPECT_EQ(target.Requests().size() - before, served);
  EXPECT_LE(static_cast<double>(served), TeamQuotaRule().Allowed(kQuota));
  EXPECT_TRUE(log_capture_.Contains("reason=team-limit"));
}

// Guards against a quota that is used up by requests that don't run.
TEST_F(TeamQuotaTest, ARequestThatHasNotRunCountsNothing) {
  store_.Put("op/config", QuotaPolicy());
  Start();
  // Many times what the quota allows until the timeout.
  constexpr int kRequests = 120;
  int refused = 0;
  EXPECT_TRUE(Eventually([&] {
    refused += SendWithKey(settings_.callers).status == 503 ? 1 : 0;
    return refused == kRequests;
  }));
}

}  // namespace
}  // namespace heatherspan
