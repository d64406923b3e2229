#include "gateway/store_snapshot.h"

#include <gtest/gtest.h>

#include "gateway/peer_selection.h"

namespace heatherspan {
namespace {

auto Text(const std::optional<std::vector<StoreChange>>& changes) -> std::string {
  if (!changes.has_value()) return "unknown";
  std::string text;
  for (const auto& change : *changes) {
    text += (change.value.has_value() ? "+" : "-") + change.key + std::to_string(change.revision);
  }
  return text;
}

// Guards against a peer that misses a removal, and against answers that grow with the number of
// changes of one item.
TEST(StoreSnapshot, GivesTheLastChangeOfEachKeyAfterARevision) {
  StoreSnapshot snapshot;
  snapshot.Apply({"a", "1", 1});
  snapshot.Apply({"b", "1", 2});
  snapshot.Apply({"c", "1", 2});
  snapshot.Apply({"a", "2", 3});
  snapshot.Apply({"b", std::nullopt, 4});
  EXPECT_EQ(Text(snapshot.ChangesAfter(0)), "+c2+a3-b4");
  EXPECT_EQ(Text(snapshot.ChangesAfter(3)), "-b4");
  EXPECT_EQ(Text(snapshot.ChangesAfter(4)), "");
  EXPECT_EQ(snapshot.Page(4).items.size(), 2U);
  snapshot.Apply({"b", "2", 5});
  EXPECT_EQ(Text(snapshot.ChangesAfter(3)), "+b5");
}

// Guards against memory that grows with every target that ever was, and against a peer that takes
// an answer without the forgotten removals for complete.
TEST(StoreSnapshot, ForgetsTheOldestRemovals) {
  StoreSnapshot snapshot;
  const auto removals = StoreSnapshot::kMaxRemovals + 10;
  for (std::uint64_t i = 1; i <= removals; ++i) {
    snapshot.Apply({std::to_string(i), std::nullopt, i});
  }
  EXPECT_EQ(Text(snapshot.ChangesAfter(9)), "unknown");
  ASSERT_TRUE(snapshot.ChangesAfter(10).has_value());
  EXPECT_EQ(snapshot.ChangesAfter(10)->size(), StoreSnapshot::kMaxRemovals);
}

auto Vm(const std::string& name, const std::string& region) -> EntryVm {
  return {NodeName(name), ZoneName(region), RegionName(region), {}, {name, 1}};
}

auto Names(const std::vector<Endpoint>& peers) -> std::string {
  std::string names;
  for (const auto& peer : peers) names += peer.address;
  return names;
}

// Guards against a node that asks itself, that asks only peers which are cut off together with it,
// and against few peers that are asked by all.
TEST(PeerSelection, ChoosesNearPeersAndOneElsewhere) {
  const auto self = NodeName("a");
  const auto region = RegionName("r");
  EXPECT_EQ(Names(SelectPeers({Vm("a", "r")}, self, region)), "");
  EXPECT_EQ(Names(SelectPeers({Vm("a", "r"), Vm("b", "r"), Vm("c", "s")}, self, region)), "bc");
  EXPECT_EQ(
      SelectPeers({Vm("a", "r"), Vm("b", "r"), Vm("c", "r"), Vm("d", "r")}, self, region).size(),
      3U);
  auto without_listener = Vm("b", "r");
  without_listener.peer_endpoint = {};
  EXPECT_EQ(Names(SelectPeers({without_listener}, self, region)), "");

  std::vector<EntryVm> fleet;
  for (int i = 0; i < 90; ++i) fleet.push_back(Vm("vm-" + std::to_string(i), i < 45 ? "r" : "s"));
  std::map<std::string, int> questions;
  for (const auto& vm : fleet) {
    const auto peers = SelectPeers(fleet, vm.name, vm.region);
    ASSERT_EQ(peers.size(), 3U);
    for (const auto& peer : peers) ++questions[peer.address];
  }
  for (const auto& [peer, count] : questions) EXPECT_LE(count, 12) << peer;
}

}  // namespace
}  // namespace heatherspan
