#include "caps/share_holder.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(1'000)};
const RegionName sofia("sofia");
constexpr RankedVm kSelf{500, InstanceId(5)};

auto Grant(std::uint64_t sequence, double share) -> ShareGrant {
  ShareGrant grant;
  grant.sequence = sequence;
  grant.region = sofia;
  grant.config_version = ConfigVersion(1);
  grant.share = RequestsPerSecond(share);
  grant.lifetime_ms = 4'000;
  return grant;
}

class ShareHolderTest : public testing::Test {
 protected:
  ShareHolderTest() : holder_(kSelf, sofia) {
    const CapConfig config{ConfigVersion(1), RequestsPerSecond(100), 0.4, 4};
    holder_.Configure(config, Duration(0), kNow);
  }
  auto Usable(Duration after) -> double { return holder_.UsableShare(kNow + after).value(); }
  auto UpdateZone(const std::vector<RankedVm>& vms, Duration after) -> void {
    holder_.OnZoneVms(vms, 2, kNow + after);
  }
  auto Request(Duration after, double demand) -> bool {
    return holder_.MaybeRequest(kNow + after, RequestsPerSecond(demand)).has_value();
  }

  ShareHolder holder_;
};

// Guards against a lease that lasts longer because the grant arrives late. The lifetime counts from
// the sending of the request.
TEST_F(ShareHolderTest, UsesALeaseUntilItsEndMinusTheMargin) {
  ASSERT_TRUE(Request(seconds(0), 50));
  EXPECT_TRUE(holder_.OnGrant(Grant(1, 30), kNow + seconds(3)));
  EXPECT_EQ(Usable(milliseconds(3'399)), 30);
  EXPECT_EQ(Usable(milliseconds(3'400)), 0);
}

TEST_F(ShareHolderTest, RejectsUnrequestedExpiredOverlongAndOlderGrants) {
  ASSERT_TRUE(Request(seconds(0), 50));
  ASSERT_TRUE(Request(seconds(1), 50));
  EXPECT_FALSE(holder_.OnGrant(Grant(3, 30), kNow + seconds(1))) << "not requested";
  EXPECT_FALSE(holder_.OnGrant(Grant(1, 30), kNow + seconds(4))) << "already expired";
  auto endless = Grant(2, 30);
  endless.lifetime_ms = 60'000;
  EXPECT_FALSE(holder_.OnGrant(endless, kNow + seconds(1)));
  EXPECT_TRUE(holder_.OnGrant(Grant(2, 30), kNow + seconds(1)));
  EXPECT_FALSE(holder_.OnGrant(Grant(1, 90), kNow + seconds(1))) << "older than the current lease";
  EXPECT_EQ(Usable(seconds(1)), 30);
}

TEST_F(ShareHolderTest, RequestsOnceASecondTheDemandBeyondTheBaseShare) {
  for (int second = 0; second <= 5; ++second) UpdateZone({kSelf}, seconds(second));
  EXPECT_EQ(Usable(seconds(5)), 10);
  EXPECT_FALSE(Request(seconds(5), 8));
  const auto request = holder_.MaybeRequest(kNow + seconds(5), RequestsPerSecond(50));
  ASSERT_TRUE(request.has_value());
  EXPECT_EQ(request->demand.value(), 50);
  EXPECT_FALSE(Request(milliseconds(5'999), 50));
  EXPECT_TRUE(Request(seconds(6), 50));
}

// Guards against more base shares than the document allows when a zone has more VMs than that.
TEST_F(ShareHolderTest, HasABaseShareOnlyByRankAndAfterTheHoldTime) {
  const std::vector<RankedVm> older = {{100, InstanceId(1)}, {500, InstanceId(4)}};
  for (int second = 0; second < 6; ++second) UpdateZone(older, seconds(second));
  EXPECT_EQ(Usable(seconds(5)), 0);
  for (int second = 6; second <= 10; second += 2) UpdateZone({older[0]}, seconds(second));
  EXPECT_EQ(Usable(milliseconds(10'499)), 0);
  EXPECT_EQ(Usable(milliseconds(10'500)), 10);
}

// Guards against two VMs with the same base share: a VM may be replaced while it is paused.
TEST_F(ShareHolderTest, HasNoBaseShareAfterAPauseUntilTheHoldTimeHasPassed) {
  for (int second = 0; second <= 5; ++second) UpdateZone({kSelf}, seconds(second));
  EXPECT_EQ(Usable(seconds(7)), 10);
  EXPECT_EQ(Usable(milliseconds(7'001)), 0);
  for (int second = 20; second <= 24; second += 2) UpdateZone({kSelf}, seconds(second));
  EXPECT_EQ(Usable(milliseconds(24'499)), 0);
  EXPECT_EQ(Usable(milliseconds(24'500)), 10);
}

}  // namespace
}  // namespace heatherspan
