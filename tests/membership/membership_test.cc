#include "membership/membership.h"

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <memory>

#include "membership/membership_timing.h"
#include "membership_network.h"

namespace heatherspan {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

auto IsDead(MemberState state) -> bool { return state == MemberState::kDead; }
auto IsAlive(MemberState state) -> bool { return state == MemberState::kAlive; }
auto IsLeaving(MemberState state) -> bool { return state == MemberState::kLeaving; }

/// Provides a network in which all nodes have joined.
class MembershipTest : public testing::Test {
 protected:
  auto Join(std::size_t nodes, std::uint64_t seed) -> MembershipNetwork& {
    network_ = std::make_unique<MembershipNetwork>(nodes, seed);
    network_->RunUntil([this] { return network_->IsConverged(); }, seconds(60));
    EXPECT_TRUE(network_->IsConverged());
    network_->Run(seconds(5));
    return *network_;
  }

  std::unique_ptr<MembershipNetwork> network_;
};

// Guards against the removal of live members by one node that loses 70% of its datagrams. The
// probes of this node fail, so that it reports live members as suspected or dead.
TEST_F(MembershipTest, KeepsAllMembersWithOneLossyObserver) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    auto& network = Join(24, seed);
    network.node(0).loss = 0.7;
    int missing = 0;
    for (int second = 0; second < 120; ++second) {
      network.Run(seconds(1));
      missing +=
          network.MissingPairs([](std::size_t a, std::size_t b) { return a != 0 && b != 0; });
    }
    EXPECT_EQ(missing, 0) << "seed " << seed;
    network.node(0).loss = 0;
    network.RunUntil([&] { return network.IsConverged(); }, seconds(60));
    EXPECT_TRUE(network.IsConverged()) << "seed " << seed;
  }
}

TEST_F(MembershipTest, KeepsAllMembersAtTenPercentLoss) {
  auto& network = Join(64, 1);
  network.loss = 0.1;
  int missing = 0;
  for (int second = 0; second < 120; ++second) {
    network.Run(seconds(1));
    missing += network.MissingPairs([](std::size_t, std::size_t) { return true; });
  }
  EXPECT_EQ(missing, 0);
}

// Guards against a process that finds expired timers after a pause and declares live members dead.
TEST_F(MembershipTest, PausedNodeRejoinsAndKeepsOtherMembers) {
  for (const int pause : {2, 5, 30}) {
    auto& network = Join(24, 1);
    network.Pause(3, seconds(pause));
    int missing = 0;
    for (int second = 0; second < pause + 15; ++second) {
      network.Run(seconds(1));
      missing += network.MissingPairs([](std::size_t, std::size_t b) { return b != 3; });
    }
    EXPECT_EQ(missing, 0) << pause;
    EXPECT_TRUE(network.AllSee(3, IsAlive)) << pause;
  }
}

TEST_F(MembershipTest, MergesAfterPartitionHeals) {
  for (const std::size_t nodes : {8, 64}) {
    auto& network = Join(nodes, 1);
    network.link = [nodes](std::size_t a, std::size_t b) {
      return (a < nodes / 2) == (b < nodes / 2);
    };
    const auto same_side = network.link;
    for (int second = 0; second < 60; ++second) {
      network.Run(seconds(1));
      EXPECT_EQ(network.MissingPairs(same_side), 0);
    }
    EXPECT_EQ(network.node(0).membership->Members().size(), nodes / 2);
    network.link = [](std::size_t, std::size_t) { return true; };
    int missing = 0;
    const auto merged = network.RunUntil(
        [&] {
          missing += network.MissingPairs(same_side);
          return network.IsConverged();
        },
        seconds(120));
    EXPECT_TRUE(network.IsConverged());
    EXPECT_EQ(missing, 0) << "a member of the same side was declared dead during the merge";
    std::cout << "nodes " << nodes << ": merged after " << merged.count() / 1'000'000 << " ms\n";
  }
}

// Guards against a permanent partition. After the records of dead members are removed, seeds are
// the only addresses that lead to the other side.
TEST_F(MembershipTest, MergesAfterLongPartitionThroughSeeds) {
  auto& network = Join(8, 1);
  network.link = [](std::size_t a, std::size_t b) { return (a < 4) == (b < 4); };
  network.Run(kDeadRecordRetention + minutes(1));
  EXPECT_EQ(network.node(0).membership->records(), 3);
  network.link = [](std::size_t, std::size_t) { return true; };
  network.RunUntil([&] { return network.IsConverged(); }, seconds(60));
  EXPECT_TRUE(network.IsConverged());
}

TEST_F(MembershipTest, TreatsRestartAtSameAddressAsNewInstance) {
  auto& network = Join(16, 1);
  const auto old = network.node(5).self.instance;
  network.Restart(5);
  const auto taken = network.RunUntil([&] { return network.IsConverged(); }, seconds(30));
  EXPECT_TRUE(network.IsConverged());
  EXPECT_LE(taken, seconds(15));
  for (std::size_t i = 0; i < network.size(); ++i) {
    for (const auto& member : network.node(i).membership->Members()) {
      EXPECT_NE(member.instance, old);
    }
  }
}

TEST_F(MembershipTest, AnnouncesLeavingToAllMembers) {
  auto& network = Join(64, 1);
  auto& node = network.node(9);
  network.Send(9, node.membership->Leave(network.now(), network.random()));
  const auto taken = network.RunUntil([&] { return network.AllSee(9, IsLeaving); }, seconds(10));
  EXPECT_LE(taken, seconds(5));
  node.running = false;
  network.RunUntil([&] { return network.AllSee(9, IsDead); }, seconds(30));
  EXPECT_TRUE(network.AllSee(9, IsDead));
}

// Guards against the use of a cut direct link between two members that reach each other only
// through other members. Such members are not dead.
TEST_F(MembershipTest, ReportsCutDirectLink) {
  auto& network = Join(7, 1);
  network.link = [](std::size_t a, std::size_t b) { return a + b != 1; };
  network.Run(seconds(30));
  EXPECT_EQ(network.MissingPairs([](std::size_t, std::size_t) { return true; }), 0);
  int cut = 0;
  for (const auto& member : network.node(0).membership->Members()) {
    if (!member.direct_link_cut) continue;
    EXPECT_EQ(member.instance, network.node(1).self.instance);
    ++cut;
  }
  EXPECT_EQ(cut, 1);
}

// Guards against unlimited growth of the member table. 41 instances are replaced per day; this test
// replaces 300 in 50 minutes, which is more than 100 times that rate.
TEST_F(MembershipTest, RemovesRecordsOfReplacedInstances) {
  auto& network = Join(16, 1);
  std::size_t most = 0;
  for (std::size_t i = 0; i < 300; ++i) {
    network.Restart(3 + i % 13);
    network.Run(seconds(10));
    most = std::max(most, network.node(0).membership->records());
  }
  EXPECT_LE(most, 15 + kDeadRecordRetention / seconds(10) + 10);
  network.Run(kDeadRecordRetention + seconds(30));
  EXPECT_EQ(network.node(0).membership->records(), 15);
}

TEST_F(MembershipTest, AcceptsLeavingFromVmListAndShortensSuspicionOfUnlistedMembers) {
  auto& network = Join(7, 1);
  std::vector<ListedVm> vms;
  for (std::size_t i = 0; i < 7; ++i) {
    if (i != 6) vms.push_back(ListedVm{network.node(i).self.peer_endpoint, i == 5});
  }
  for (std::size_t i = 0; i < 7; ++i) network.node(i).membership->OnVmList(vms, network.now());
  network.Run(seconds(3));
  EXPECT_TRUE(network.AllSee(5, IsLeaving));
  EXPECT_TRUE(network.AllSee(6, IsAlive)) << "absence from the list alone proves nothing";
  network.node(6).running = false;
  const auto taken = network.RunUntil([&] { return network.AllSee(6, IsDead); }, seconds(30));
  EXPECT_LE(taken, seconds(8));
}

}  // namespace
}  // namespace heatherspan
