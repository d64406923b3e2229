#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

#include "membership/membership_timing.h"
#include "membership_network.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr std::int64_t kBytesPerSecond = 7'000;

struct Scale {
  std::size_t nodes;
  std::vector<std::uint64_t> seeds;
  int join_periods;       ///< Time to join after all nodes start at once.
  int missing;            ///< Pairs that may be missing after that time.
  int suspected_periods;  ///< Until no node lists a killed node as alive.
  int dead_periods;       ///< Until every node has declared the killed node dead.
};

// Provides the parameter in the test name. The default output contains memory addresses.
auto PrintTo(const Scale& scale, std::ostream* out) -> void { *out << scale.nodes << " nodes"; }

class MembershipScaleTest : public testing::TestWithParam<Scale> {};

auto Seconds(Duration duration) -> double { return static_cast<double>(duration.count()) / 1e9; }

// Guards against slow joins, late failure detection, and network overhead that grows with the
// number of nodes.
TEST_P(MembershipScaleTest, JoinsAndDetectsKilledNodeWithinTimeAndBandwidthLimits) {
  const auto& scale = GetParam();
  for (const auto seed : scale.seeds) {
    MembershipNetwork network(scale.nodes, seed);
    network.Run(kProbePeriod * scale.join_periods);
    std::size_t missing = 0;
    for (std::size_t i = 0; i < scale.nodes; ++i) {
      missing += scale.nodes - network.node(i).membership->Members().size();
    }
    EXPECT_LE(missing, scale.missing);
    // During the first kNewMemberTime, messages are filled with records for new members.
    network.Run(kNewMemberTime);
    for (std::size_t i = 0; i < scale.nodes; ++i) network.node(i).bytes = 0;
    network.Run(seconds(20));
    std::int64_t most = 0;
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < scale.nodes; ++i) {
      most = std::max(most, network.node(i).bytes / 20);
      sum += network.node(i).bytes / 20;
    }
    EXPECT_LT(most, kBytesPerSecond);

    const auto killed = scale.nodes - 1;
    network.node(killed).running = false;
    const auto suspected = network.RunUntil(
        [&] {
          return network.AllSee(killed, [](MemberState s) { return s != MemberState::kAlive; });
        },
        seconds(60));
    const auto dead = suspected + network.RunUntil(
                                      [&] {
                                        return network.AllSee(killed, [](MemberState s) {
                                          return s == MemberState::kDead;
                                        });
                                      },
                                      seconds(60));
    EXPECT_LE(suspected, kProbePeriod * scale.suspected_periods);
    EXPECT_LE(dead, kProbePeriod * scale.dead_periods);
    EXPECT_LE(network.largest_datagram(), kMaxDatagramBytes);
    std::cout << "nodes " << scale.nodes << " seed " << seed << ": " << missing
              << " pairs missing after " << scale.join_periods
              << " s; bytes/s sent and received, mean "
              << sum / static_cast<std::int64_t>(scale.nodes) << ", most " << most
              << "; killed node suspected by all after " << Seconds(suspected) << " s, dead after "
              << Seconds(dead) << " s; largest datagram " << network.largest_datagram() << "\n";
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipScaleTest,
                         testing::Values(Scale{7, {1, 2, 3}, 5, 0, 6, 12},
                                         Scale{64, {1, 2, 3}, 15, 0, 10, 15},
                                         Scale{640, {1}, 60, 10, 14, 20}),
                         [](const auto& scale) { return std::to_string(scale.param.nodes); });

}  // namespace
}  // namespace heatherspan
