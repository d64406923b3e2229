#include "caps/share_grantor.h"

#include <gtest/gtest.h>

#include <chrono>

#include "caps/max_min_fairness.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(1'000)};
constexpr auto kReady = kNow + milliseconds(4'600);
constexpr auto kLastRenewal = kNow + seconds(6);
const RegionName sofia("sofia");

class ShareGrantorTest : public testing::Test {
 protected:
  ShareGrantorTest() : grantor_(InstanceId(9), sofia, term_) {
    Configure(1, 200, kNow);
    term_.OnAcquired(StoreLeaseId(1), kNow);
    grantor_.BeginTerm(kNow);
    term_.OnRenewed(kLastRenewal);
  }

  auto Configure(std::uint64_t version, double cap, MonotonicTime now) -> void {
    const CapConfig config{ConfigVersion(version), RequestsPerSecond(cap), 0.5, 4};
    grantor_.Configure(config, Duration(0), now);
  }
  auto Share(std::uint64_t holder, double demand, MonotonicTime now) -> double {
    const ShareRequest request{++sequence_, InstanceId(holder), sofia, RequestsPerSecond(demand)};
    const auto grant = grantor_.OnRequest(request, now);
    return grant.has_value() ? grant->share.value() : -1;
  }

  GrantorTerm term_;
  ShareGrantor grantor_;
  std::uint64_t sequence_ = 0;
};

TEST(MaxMinFairLevel, DividesWhatSmallDemandsLeaveEqually) {
  EXPECT_EQ(MaxMinFairLevel({10, 100, 100}, 90), 40);
  EXPECT_EQ(MaxMinFairLevel({10, 20}, 90), 90);
  EXPECT_EQ(MaxMinFairLevel({}, 90), 90);
}

// Guards against shares above the cap after a change of the grantor: grants of the previous grantor
// may still be in use.
TEST_F(ShareGrantorTest, GrantsNothingWhileEarlierGrantsMayBeInUse) {
  EXPECT_EQ(Share(1, 50, kReady - milliseconds(1)), -1);
  EXPECT_EQ(Share(1, 50, kReady), 50);
}

// Guards against two grantors at once: while a grantor was paused beyond the end of its term,
// another node may have acquired the role.
TEST_F(ShareGrantorTest, GrantsNothingOutsideItsTerm) {
  EXPECT_EQ(Share(1, 50, kLastRenewal + GrantorTerm::kTtl), -1);
  term_.OnAcquired(StoreLeaseId(2), kNow + seconds(20));
  EXPECT_EQ(Share(1, 50, kNow + seconds(21)), -1) << "BeginTerm was not called for the new term";
}

TEST_F(ShareGrantorTest, CountsALostGrantUntilItExpires) {
  EXPECT_EQ(Share(1, 100, kReady), 100);
  EXPECT_EQ(Share(1, 0, kReady + seconds(1)), 0);
  EXPECT_EQ(Share(2, 100, kReady + seconds(2)), 0);
  EXPECT_EQ(Share(2, 100, kReady + milliseconds(4'600)), 100);
}

TEST_F(ShareGrantorTest, ConvergesToMaxMinFairShares) {
  auto now = kReady;
  EXPECT_EQ(Share(1, 500, now), 100);
  for (int i = 0; i < 6; ++i) {
    now += seconds(1);
    term_.OnRenewed(now);
    Share(1, 500, now);
    Share(2, 500, now);
    Share(3, 20, now);
  }
  EXPECT_EQ(Share(1, 500, now), 40);
  EXPECT_EQ(Share(2, 500, now), 40);
  EXPECT_EQ(Share(3, 20, now), 20);
}

TEST_F(ShareGrantorTest, LowersTheSumOnlyAsEarlierGrantsExpire) {
  EXPECT_EQ(Share(1, 100, kReady), 100);
  Configure(2, 100, kReady);
  EXPECT_EQ(Share(2, 100, kReady + seconds(1)), 0);
  EXPECT_EQ(Share(1, 100, kReady + seconds(1)), 25);
  EXPECT_EQ(grantor_.OutstandingShares(kReady + seconds(1)).value(), 100);
  EXPECT_EQ(grantor_.OutstandingShares(kReady + milliseconds(4'600)).value(), 25);
}

TEST_F(ShareGrantorTest, IgnoresRepeatedRequestsAndOtherRegions) {
  const ShareRequest request{1, InstanceId(1), sofia, RequestsPerSecond(10)};
  EXPECT_TRUE(grantor_.OnRequest(request, kReady).has_value());
  EXPECT_FALSE(grantor_.OnRequest(request, kReady).has_value());
  const ShareRequest other{2, InstanceId(1), RegionName("varna"), RequestsPerSecond(10)};
  EXPECT_FALSE(grantor_.OnRequest(other, kReady).has_value());
}

TEST_F(ShareGrantorTest, GrantsNothingToHoldersBeyondTheLimit) {
  for (std::uint64_t holder = 1; holder <= ShareGrantor::kMaxHolders; ++holder) {
    EXPECT_GE(Share(holder, 1, kReady), 0);
  }
  EXPECT_EQ(Share(99'999, 1, kReady), -1);
}

}  // namespace
}  // namespace heatherspan
