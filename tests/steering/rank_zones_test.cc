#include "steering/rank_zones.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>

#include "scenario.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::UnorderedElementsAre;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

class RankZonesTest : public testing::Test {
 protected:
  auto Report(const char* zone, std::uint32_t usable, std::uint32_t used,
              std::uint32_t share_percent = 0) -> void {
    const ServiceLoad load{desk_, usable, used, 0};
    loads_.OnReport({ZoneName(zone), InstanceId(1), {load}, share_percent}, now_);
  }
  auto Outcome(const char* zone, ZoneOutcome outcome, int times = 1) -> void {
    for (int i = 0; i < times; ++i) {
      loads_.OnOutcome(ZoneName(zone), desk_, outcome, std::nullopt, now_);
    }
  }
  auto Choices(const char* local_zone = "a1") -> std::vector<ZoneChoice> {
    const auto view = TestView(document_, nodes_);
    return RankZones(*view, loads_, desk_, ZoneName(local_zone), now_);
  }
  auto Ranked(const char* local_zone = "a1") -> std::vector<std::string> {
    std::vector<std::string> zones;
    for (const auto& choice : Choices(local_zone)) zones.push_back(choice.zone.value());
    return zones;
  }

  const ServiceName desk_{"desk"};
  Document document_ = TestDocument();
  std::vector<LiveNode> nodes_ = TestNodes(document_, 1);
  ZoneLoadTracker loads_;
  MonotonicTime now_ = kStart;
};

TEST_F(RankZonesTest, RanksTheLocalZoneFirstThenItsRegion) {
  Report("a1", 6, 5);
  EXPECT_THAT((std::vector{Ranked()[0], Ranked()[1]}), ElementsAre("a1", "a2"));
  EXPECT_EQ(Ranked().size(), 6U);
}

// Guards against a short peak in one report that sends a whole second's traffic to other zones.
TEST_F(RankZonesTest, OnlyObservedRefusalsDemoteTheLocalZone) {
  Report("a1", 6, 12);
  Report("a2", 6, 1);
  EXPECT_EQ(Ranked()[0], "a1");
  Outcome("a1", ZoneOutcome::kRefused);
  EXPECT_EQ(Ranked()[0], "a2");
}

// Guards against receiving entry VMs that all overflow to the zone with the lowest reported load.
TEST_F(RankZonesTest, TieBreakerOrdersZonesWithSimilarLoads) {
  Report("b1", 6, 0);
  Report("b2", 6, 1);
  Report("c1", 6, 2);
  Report("c2", 6, 5);
  std::map<std::string, int> first_remote;
  const auto view = TestView(document_, nodes_);
  for (std::uint64_t tie_breaker = 0; tie_breaker < 300; ++tie_breaker) {
    ++first_remote[RankZones(*view, loads_, desk_, ZoneName("a1"), now_, tie_breaker)[2]
                       .zone.value()];
  }
  EXPECT_EQ(first_remote.size(), 3U);
  EXPECT_EQ(first_remote.count("c2"), 0U);
  for (const auto& [zone, count] : first_remote) EXPECT_NEAR(count, 100, 30) << zone;
}

TEST_F(RankZonesTest, WeightsDecideBetweenLatencyAndHeadroom) {
  Outcome("a1", ZoneOutcome::kRefused);
  Report("a1", 6, 9);
  Report("a2", 6, 9);
  for (const auto* zone : {"b1", "b2", "c2"}) Report(zone, 6, 9);
  Report("c1", 6, 0);
  document_.objectives = {0.9, 0.1};
  EXPECT_EQ(Ranked()[0], "a1");
  document_.objectives = {0.1, 0.9};
  EXPECT_EQ(Ranked()[0], "c1");
}

// Guards against treating a zone as idle or dead because its reports stopped.
TEST_F(RankZonesTest, TreatsExpiredReportsAsUnknownLoad) {
  Report("a2", 6, 6);
  Report("b1", 6, 0);
  Report("b2", 0, 0);
  EXPECT_FALSE(loads_.Load(ZoneName("a2"), desk_, now_ + seconds(5)).utilization.has_value());
  EXPECT_EQ(Ranked().size(), 5U);
  now_ += seconds(5);
  EXPECT_EQ(Ranked().size(), 6U);
  EXPECT_EQ(Ranked()[1], "a2");
}

// Guards against reports that override the outcomes of own requests: a zone that just answered is
// usable.
TEST_F(RankZonesTest, ObservedOutcomesTakePrecedenceOverReports) {
  Outcome("a2", ZoneOutcome::kAnswered);
  Report("a2", 0, 0);
  EXPECT_EQ(Ranked()[1], "a2");
  Report("a1", 6, 0);
  Outcome("a1", ZoneOutcome::kRefused);
  Report("a2", 6, 0);
  EXPECT_EQ(Ranked()[0], "a2");
  now_ += milliseconds(100);
  EXPECT_EQ(Ranked()[0], "a1");
}

// Guards against sending more requests to a zone that fails, and against never attempting the zone
// again.
TEST_F(RankZonesTest, RanksAFailingZoneLastUntilItsBackoffEnds) {
  Outcome("a1", ZoneOutcome::kFailed, 2);
  EXPECT_EQ(Ranked()[0], "a1");
  Outcome("a1", ZoneOutcome::kFailed);
  EXPECT_EQ(Ranked()[5], "a1");
  now_ += seconds(1);
  EXPECT_EQ(Ranked()[0], "a1");
}

// Guards against receiving entry VMs that move back and forth with reports of a used-up share.
TEST_F(RankZonesTest, RanksZonesWithAUsedUpCapShareAfterTheOthers) {
  Report("a1", 6, 0, 100);
  EXPECT_EQ(Ranked()[5], "a1");
  EXPECT_EQ(Ranked()[0], "a2");
}

// Guards against a drain that moves all traffic at once, and against refusals of requests that the
// shift limit does not let move yet.
TEST_F(RankZonesTest, RanksDrainedZonesOfTheLocalRegionLastAndMarksThem) {
  document_.drains.push_back({DrainScope::kRegion, "a", "move"});
  const auto choices = Choices();
  ASSERT_EQ(choices.size(), 6U);
  EXPECT_FALSE(choices[3].drained);
  EXPECT_TRUE(choices[4].drained && choices[5].drained);
  EXPECT_THAT(Ranked("b1"), UnorderedElementsAre("b1", "b2", "c1", "c2"));
}

TEST_F(RankZonesTest, LeavesOutZonesThatCannotServe) {
  document_.links.erase(document_.links.begin());  // Between a and b.
  document_.drains.push_back({DrainScope::kTarget, "a2-t1", ""});
  document_.drains.push_back({DrainScope::kTarget, "a2-t2", ""});
  for (const auto* name : {"c1-0", "c2-0"}) SetState(nodes_, name, MemberState::kDead);
  EXPECT_THAT(Ranked(), ElementsAre("a1"));
  EXPECT_TRUE(Ranked("nowhere").empty());
}

}  // namespace
}  // namespace heatherspan
