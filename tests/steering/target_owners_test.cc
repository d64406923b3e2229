#include "steering/target_owners.h"

#include <gtest/gtest.h>

#include <map>

#include "scenario.h"
#include "steering/choose_executor.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

class TargetOwnersTest : public testing::Test {
 protected:
  TargetOwnersTest() {
    for (int i = 0; i < 40; ++i) {
      const auto name = "more" + std::to_string(i);
      document_.services[0].targets.push_back({TargetName(name), ZoneName("a1"), {}});
    }
    nodes_ = TestNodes(document_, 4);
  }

  auto Update(TargetOwners& owners) -> void { owners.Update(*TestView(document_, nodes_), now_); }
  auto OwnersNow(const TargetOwners& owners) -> std::map<TargetName, std::optional<InstanceId>> {
    std::map<TargetName, std::optional<InstanceId>> result;
    for (const auto& target : document_.services[0].targets) {
      result[target.name] = owners.Owner(target.name, now_);
    }
    return result;
  }
  auto IdOf(const std::string& name) -> InstanceId {
    for (const auto& node : nodes_) {
      if (node.name.value() == name) return node.instance;
    }
    return {};
  }

  Document document_ = TestDocument();
  std::vector<LiveNode> nodes_;
  MonotonicTime now_ = kStart;
};

// Guards against nodes that disagree on owners, and against owners outside the target's zone.
TEST_F(TargetOwnersTest, AllNodesAgreeOnAnOwnerInTheTargetsZone) {
  TargetOwners first(nodes_.front().instance);
  TargetOwners last(nodes_.back().instance);
  Update(first);
  Update(last);
  now_ += TargetOwners::kHandoverDelay;
  EXPECT_EQ(OwnersNow(first), OwnersNow(last));
  const auto view = TestView(document_, nodes_);
  for (const auto& target : document_.services[0].targets) {
    EXPECT_EQ(view->FindNode(*first.Owner(target.name, now_))->zone, target.zone);
  }
  const auto counts = first.OwnersIn(ServiceName("desk"), ZoneName("a1"), now_);
  EXPECT_EQ(counts.size(), 4U);
  for (const auto& count : counts) EXPECT_GE(count.targets, 4);
}

// Guards against two owners of a target at the same time while a node joins.
TEST_F(TargetOwnersTest, AJoiningNodeTakesOverAfterTheHandoverDelay) {
  auto all = nodes_;
  const auto joining = IdOf("a1-3");
  std::erase_if(nodes_, [&](const auto& node) { return node.instance == joining; });
  TargetOwners old(IdOf("a1-0"));
  Update(old);
  now_ += seconds(10);
  const auto before = OwnersNow(old);
  nodes_ = all;
  TargetOwners joined(joining);
  Update(old);
  Update(joined);
  now_ += TargetOwners::kHandoverDelay - Duration(1);
  EXPECT_EQ(OwnersNow(old), before);
  EXPECT_EQ(OwnersNow(joined), before);
  EXPECT_TRUE(joined.OwnedTargets(ServiceName("desk"), now_).empty());
  EXPECT_EQ(old.NextChange(now_), now_ + Duration(1));
  now_ += Duration(1);
  EXPECT_EQ(OwnersNow(old), OwnersNow(joined));
  EXPECT_FALSE(joined.OwnedTargets(ServiceName("desk"), now_).empty());
  for (const auto& [target, owner] : OwnersNow(old)) {
    EXPECT_TRUE(owner == joining || owner == before.at(target)) << target.value();
  }
}

// Guards against targets without an owner for the handover delay after a document adds them.
TEST_F(TargetOwnersTest, AnAddedTargetHasItsOwnerAtOnce) {
  const auto all = document_;
  auto& targets = document_.services[0].targets;
  targets.erase(targets.begin() + 1, targets.end());
  std::vector<TargetOwners> owners;
  for (const auto& node : nodes_) Update(owners.emplace_back(node.instance));
  now_ += seconds(10);
  document_ = all;
  for (auto& each : owners) Update(each);
  for (const auto& each : owners) EXPECT_EQ(OwnersNow(each), OwnersNow(owners.front()));
}

// Guards against a loss of capacity for the handover delay after the owner has announced that it is
// leaving, and against moving targets because of a suspicion.
TEST_F(TargetOwnersTest, ALeavingOwnerIsReplacedAtOnceAndASuspectedOneIsKept) {
  TargetOwners owners(IdOf("a1-0"));
  Update(owners);
  now_ += seconds(10);
  const auto before = OwnersNow(owners);
  SetState(nodes_, "a1-1", MemberState::kSuspected);
  Update(owners);
  now_ += seconds(10);
  EXPECT_EQ(OwnersNow(owners), before);
  SetState(nodes_, "a1-1", MemberState::kLeaving);
  Update(owners);
  for (const auto& [target, owner] : OwnersNow(owners)) EXPECT_NE(owner, IdOf("a1-1"));
}

// Guards against a change of owner that takes effect although the node that caused it is lost.
TEST_F(TargetOwnersTest, CancelsAPendingChangeWhenTheNewNodeIsLost) {
  auto all = nodes_;
  std::erase_if(nodes_, [](const auto& node) { return node.name.value() == "a1-3"; });
  const auto without = nodes_;
  TargetOwners owners(IdOf("a1-0"));
  Update(owners);
  now_ += seconds(10);
  const auto before = OwnersNow(owners);
  nodes_ = all;
  Update(owners);
  now_ += seconds(2);
  nodes_ = without;
  Update(owners);
  now_ += seconds(10);
  EXPECT_EQ(OwnersNow(owners), before);
}

// Guards against idle targets in a zone that has lost its entry VMs.
TEST_F(TargetOwnersTest, ANodeInAnotherZoneOfTheRegionTakesOverTargets) {
  TargetOwners owners(IdOf("b1-0"));
  for (const auto* name : {"a1-0", "a1-1", "a1-2", "a1-3"}) {
    SetState(nodes_, name, MemberState::kDead);
  }
  Update(owners);
  const auto view = TestView(document_, nodes_);
  for (const auto& count : owners.OwnersIn(ServiceName("desk"), ZoneName("a1"), now_)) {
    EXPECT_EQ(view->FindNode(count.owner)->zone, ZoneName("a2"));
  }
  for (const auto* name : {"a2-0", "a2-1", "a2-2", "a2-3"}) {
    SetState(nodes_, name, MemberState::kDead);
  }
  Update(owners);
  EXPECT_FALSE(owners.Owner(TargetName("a1-t1"), now_).has_value());
}

// Guards against sending to the owner with fewer free slots when both owners report.
TEST_F(TargetOwnersTest, ChoosesExecutorsByTargetsAndFreeSlots) {
  constexpr std::uint64_t kSeed = 3;
  SCOPED_TRACE(testing::Message() << "seed " << kSeed);
  Random random(kSeed);
  TargetOwners owners(IdOf("b1-0"));
  Update(owners);
  const ServiceName desk("desk");
  const ZoneName zone("a1");
  ZoneLoadTracker loads;
  const auto counts = owners.OwnersIn(desk, zone, now_);
  for (const auto& count : counts) {
    const bool full = count.owner == counts[0].owner;
    loads.OnReport({zone, count.owner, {{desk, 30, full ? 30U : 0U, 0}}, 0}, now_);
  }
  int to_full = 0;
  for (int i = 0; i < 1000; ++i) {
    to_full += ChooseExecutor(owners, loads, desk, zone, now_, random) == counts[0].owner ? 1 : 0;
  }
  EXPECT_LT(to_full, 200);
  EXPECT_FALSE(ChooseExecutor(owners, loads, desk, ZoneName("x"), now_, random).has_value());
}

}  // namespace
}  // namespace heatherspan
