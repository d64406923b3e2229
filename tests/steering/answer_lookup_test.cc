#include "steering/answer_lookup.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <utility>

#include "allocation_counter.h"
#include "fmt/format.h"
#include "scenario.h"

namespace heatherspan {
namespace {

using testing::ElementsAre;
using testing::IsSupersetOf;

constexpr std::uint64_t kSeed = 5;

class AnswerLookupTest : public testing::Test {
 protected:
  auto Lookup(const std::string& client) -> LookupAnswer {
    return AnswerLookup(*view_, {"desk", IpAddress::Parse(client).value()}, random_);
  }
  auto ListedNodes(const std::string& client) -> std::vector<std::string> {
    std::vector<std::string> names;
    const auto answer = Lookup(client);
    for (const auto* node : answer.Nodes()) names.push_back(node->name.value());
    return names;
  }
  auto Zones(const std::string& client) -> std::vector<std::string> {
    std::vector<std::string> zones;
    const auto answer = Lookup(client);
    for (const auto* node : answer.Nodes()) zones.push_back(node->zone.value());
    return zones;
  }
  auto UseNodes(std::vector<LiveNode> nodes) -> void {
    view_ = TestView(document_, std::move(nodes));
  }
  /// Replaces the client blocks by 500 blocks of zone a1.
  auto UseManyBlocks() -> void {
    document_.clients.clear();
    for (int i = 0; i < 500; ++i) {
      const auto text = fmt::format("10.{}.{}.0/24", i / 250, i % 250);
      document_.clients.push_back({IpBlock::Parse(text).value(), ZoneName("a1"), {}});
    }
  }
  static auto ClientInBlock(int i) -> std::string {
    return fmt::format("10.{}.{}.9", i / 250, i % 250);
  }

  testing::ScopedTrace trace_{__FILE__, __LINE__, "seed 5"};
  Random random_{kSeed};
  Document document_ = TestDocument();
  std::shared_ptr<const SteeringView> view_ = TestView(document_, TestNodes(document_, 1));
};

TEST_F(AnswerLookupTest, ListsClientZoneThenClientRegionThenOtherRegions) {
  const auto zones = Zones("10.1.2.3");
  ASSERT_EQ(zones.size(), 6U);
  EXPECT_EQ(zones[0], "a2");
  EXPECT_EQ(zones[1], "a1");
  EXPECT_EQ((std::set<char>{zones[2][0], zones[3][0]}), (std::set<char>{'b', 'c'}));
}

// Guards against an answer whose entry VMs are all in one zone, which may fail.
TEST_F(AnswerLookupTest, ListsSeveralZonesAtAnyNodeCount) {
  UseNodes(TestNodes(document_, 100));
  const auto zones = Zones("10.1.2.3");
  EXPECT_EQ(zones.size(), LookupAnswer::kMaxNodes);
  EXPECT_THAT(zones, IsSupersetOf({"a2", "a1"}));
  EXPECT_GE(std::set<char>({zones[6][0], zones[7][0]}).size(), 2U);
}

// Guards against answers with entry VMs that refuse requests or do not answer.
TEST_F(AnswerLookupTest, LeavesOutLeavingAndSuspectedNodes) {
  auto nodes = TestNodes(document_, 1);
  SetState(nodes, "a1-0", MemberState::kLeaving);
  SetState(nodes, "b1-0", MemberState::kSuspected);
  UseNodes(nodes);
  for (const auto& name : ListedNodes("10.0.0.1")) EXPECT_TRUE(name != "a1-0" && name != "b1-0");
}

// Guards against an empty answer when the failure detector suspects all nodes.
TEST_F(AnswerLookupTest, AppendsSuspectedNodesWhenFewAreLeft) {
  auto nodes = TestNodes(document_, 1);
  for (const auto* name : {"a1-0", "a2-0", "b1-0", "b2-0", "c1-0"}) {
    SetState(nodes, name, MemberState::kSuspected);
  }
  UseNodes(nodes);
  EXPECT_EQ(ListedNodes("10.0.0.1")[0], "c2-0");
  EXPECT_EQ(ListedNodes("10.0.0.1")[1], "a1-0");
  EXPECT_GE(ListedNodes("10.0.0.1").size(), 2U);
  for (auto& node : nodes) node.state = MemberState::kLeaving;
  UseNodes(nodes);
  EXPECT_EQ(Lookup("10.0.0.1").reason, Reason::kNoZone);
}

// Guards against a move of all callers when one entry VM is lost.
TEST_F(AnswerLookupTest, LossOfANodeMovesOnlyItsCallers) {
  UseManyBlocks();
  auto nodes = TestNodes(document_, 4);
  UseNodes(nodes);
  std::vector<std::string> before;
  before.reserve(500);
  for (int i = 0; i < 500; ++i) before.push_back(ListedNodes(ClientInBlock(i))[0]);
  SetState(nodes, "a1-2", MemberState::kDead);
  UseNodes(nodes);
  std::map<std::string, int> first_listed;
  for (int i = 0; i < 500; ++i) {
    const auto first = ListedNodes(ClientInBlock(i))[0];
    ++first_listed[first];
    if (before[i] == "a1-2") continue;
    ASSERT_EQ(first, before[i]) << ClientInBlock(i);
  }
  for (const auto* name : {"a1-0", "a1-1", "a1-3"})
    EXPECT_NEAR(first_listed[name], 167, 50) << name;
}

// Guards against sending all callers of a lost region to a single other region.
TEST_F(AnswerLookupTest, SpreadsCallersOfALostRegionOverOtherRegions) {
  UseManyBlocks();
  auto nodes = TestNodes(document_, 2);
  for (const auto* name : {"a1-0", "a1-1", "a2-0", "a2-1"}) {
    SetState(nodes, name, MemberState::kDead);
  }
  UseNodes(nodes);
  std::map<char, int> regions;
  for (int i = 0; i < 500; ++i) ++regions[Zones(ClientInBlock(i))[0][0]];
  EXPECT_NEAR(regions['b'], 250, 60);
  EXPECT_NEAR(regions['c'], 250, 60);
}

// Guards against answers that depend on anything but the client block and the members, and against
// callers that refresh their answers at the same time.
TEST_F(AnswerLookupTest, OnlyTheLifetimeIsRandom) {
  std::set<Duration> lifetimes;
  const auto first = ListedNodes("10.1.0.1");
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(ListedNodes("10.1.255.254"), first);
    lifetimes.insert(Lookup("10.1.0.1").lifetime);
  }
  EXPECT_GT(lifetimes.size(), 40U);
  EXPECT_GE(*lifetimes.begin(), std::chrono::seconds(4));
  EXPECT_LE(*lifetimes.rbegin(), std::chrono::seconds(6));
}

TEST_F(AnswerLookupTest, PrefersOtherRegionsWithHeadroom) {
  auto nodes = TestNodes(document_, 1);
  for (auto& node : nodes) node.utilization = node.zone.value()[0] == 'b' ? 0.9 : 0.1;
  UseNodes(nodes);
  EXPECT_EQ(Zones("10.0.0.1")[2][0], 'c');
}

TEST_F(AnswerLookupTest, ListsADrainedZoneAfterTheOtherZoneOfItsRegion) {
  document_.drains.push_back({DrainScope::kZone, "a1", "switch work"});
  UseNodes(TestNodes(document_, 1));
  const auto zones = Zones("10.0.0.1");
  EXPECT_THAT((std::vector{zones[0], zones[1]}), ElementsAre("a2", "a1"));
}

TEST_F(AnswerLookupTest, AnswersClientsOutsideAllBlocks) {
  std::set<std::string> first_listed;
  for (int i = 0; i < 200; ++i) first_listed.insert(Zones(fmt::format("192.0.{}.1", i))[0]);
  EXPECT_EQ(first_listed.size(), 6U);
  EXPECT_EQ(AnswerLookup(*view_, {"desks", {}}, random_).reason, Reason::kUnknownService);
}

// Guards against allocations on the look-up path, also with long service names and clients outside
// all blocks.
TEST_F(AnswerLookupTest, DoesNotAllocate) {
  document_.services[0].name = ServiceName("a-service-name-that-is-longer-than-a-small-string");
  UseNodes(TestNodes(document_, 50));
  const auto known = IpAddress::Parse("10.1.2.3").value();
  const auto unknown = IpAddress::Parse("192.0.2.1").value();
  const auto& name = document_.services[0].name.value();
  const auto before = AllocationCount();
  std::size_t listed = 0;
  for (int i = 0; i < 100; ++i) {
    listed += AnswerLookup(*view_, {name, i % 2 == 0 ? known : unknown}, random_).count;
  }
  EXPECT_EQ(AllocationCount() - before, 0U);
  EXPECT_EQ(listed, 100 * LookupAnswer::kMaxNodes);
}

}  // namespace
}  // namespace heatherspan
