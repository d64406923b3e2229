#include "steering/link_budget.h"

#include <gtest/gtest.h>

#include "scenario.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

class LinkBudgetTest : public testing::Test {
 protected:
  auto Reserve(std::int64_t bytes) -> bool {
    return budget_.TryReserve(a_, b_, Bytes(bytes), now_);
  }
  auto ReservedWithin(Duration time, std::int64_t bytes) -> std::int64_t {
    std::int64_t reserved = 0;
    for (const auto end = now_ + time; now_ < end; now_ += Duration(100'000)) {
      reserved += Reserve(bytes) ? bytes : 0;
    }
    return reserved;
  }

  const RegionName a_{"a"};
  const RegionName b_{"b"};
  Document document_ = TestDocument();
  LinkBudget budget_;
  MonotonicTime now_ = kStart;
};

// Guards against nodes that together use more than the usable part of a link of 280 Mbit/s.
TEST_F(LinkBudgetTest, DividesTheUsableCapacityByTheLiveNodes) {
  budget_.Update(*TestView(document_, TestNodes(document_, 5)), now_);
  constexpr double kNodeRate = 280e6 / 8 * 0.5 / 10;  // Bytes/s of one of ten nodes.
  const auto reserved = static_cast<double>(ReservedWithin(std::chrono::seconds(10), 8192));
  EXPECT_LE(reserved, kNodeRate * 10 + kNodeRate * 0.1 + 8192);
  EXPECT_GE(reserved, kNodeRate * 10 * 0.98);
}

TEST_F(LinkBudgetTest, KeepsUsedTokensAcrossAnUpdate) {
  const auto view = TestView(document_, TestNodes(document_, 1));
  budget_.Update(*view, now_);
  while (Reserve(8192)) continue;
  budget_.Update(*view, now_);
  EXPECT_FALSE(Reserve(8192));
}

// Guards against large responses that can never pass, and against responses that use no tokens.
TEST_F(LinkBudgetTest, AdmitsAResponseLargerThanTheBurstAndRecoversItLater) {
  budget_.Update(*TestView(document_, TestNodes(document_, 5)), now_);
  EXPECT_TRUE(Reserve(1'750'000));  // One second at the full rate, ten times the burst.
  now_ += milliseconds(850);
  EXPECT_FALSE(Reserve(8192));
  now_ += milliseconds(100);
  EXPECT_TRUE(Reserve(8192));
}

TEST_F(LinkBudgetTest, CorrectsAReservationWhenTheSizeIsKnown) {
  budget_.Update(*TestView(document_, TestNodes(document_, 5)), now_);
  EXPECT_TRUE(Reserve(8192));
  budget_.CorrectReservation(a_, b_, Bytes(8192), Bytes(1'000'000));
  now_ += milliseconds(100);
  EXPECT_FALSE(Reserve(8192));
}

TEST_F(LinkBudgetTest, RequiresALinkOnlyBetweenRegions) {
  document_.links.erase(document_.links.begin());  // Between a and b.
  budget_.Update(*TestView(document_, TestNodes(document_, 1)), now_);
  EXPECT_FALSE(Reserve(1));
  EXPECT_TRUE(budget_.TryReserve(a_, a_, Bytes(1'000'000'000), now_));
  EXPECT_TRUE(budget_.TryReserve(a_, RegionName("c"), Bytes(1), now_));
}

}  // namespace
}  // namespace heatherspan
