#include "caps/cap_history.h"

#include <gtest/gtest.h>

#include <chrono>

#include "caps/share_lease.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(1'000)};
constexpr Duration kSettled = std::chrono::hours(1);

auto Config(std::uint64_t version, double cap, double base_fraction) -> CapConfig {
  return CapConfig{ConfigVersion(version), RequestsPerSecond(cap), base_fraction, 4};
}

// Guards against a sum of shares above the cap: while nodes apply different versions, the larger
// shares of both versions add up to more than the cap.
TEST(CapHistory, UsesTheSmallerSharesWhileVersionsOverlap) {
  CapHistory history;
  history.Apply(Config(3, 100, 0.8), kSettled, kNow);
  EXPECT_EQ(history.BaseShare(kNow).value(), 20);
  history.Apply(Config(4, 100, 0.4), Duration(0), kNow);
  EXPECT_EQ(history.BaseShare(kNow).value(), 10);
  EXPECT_NEAR(history.LeasedPart(kNow).value(), 20, 1e-9);
  const auto later = kNow + kVersionOverlap + seconds(1);
  EXPECT_NEAR(history.LeasedPart(later).value(), 60, 1e-9);
  history.Apply(Config(3, 500, 0.5), kSettled, later);
  EXPECT_EQ(history.BaseShare(later).value(), 10);
}

// Guards against shares above the cap after a restart: a restarted node does not know which version
// the other nodes still apply.
TEST(CapHistory, GivesNoShareAfterAStartUntilTheVersionIsInForceEverywhere) {
  CapHistory fresh;
  fresh.Apply(Config(4, 100, 0.4), seconds(5), kNow);
  EXPECT_EQ(fresh.BaseShare(kNow).value(), 0);
  EXPECT_EQ(fresh.LeasedPart(kNow).value(), 0);
  EXPECT_EQ(fresh.BaseShare(kNow + kVersionOverlap + seconds(1)).value(), 10);
  CapHistory first;
  first.Apply(Config(1, 100, 0.4), Duration(0), kNow);
  EXPECT_EQ(first.BaseShare(kNow).value(), 10);
}

TEST(CapHistory, AcceptsGrantsOfVersionsThatMayBeInForce) {
  CapHistory history;
  history.Apply(Config(3, 100, 0.8), kSettled, kNow);
  history.Apply(Config(4, 100, 0.8), kSettled, kNow);
  history.Apply(Config(5, 100, 0.4), kSettled, kNow);
  const auto later = kNow + kVersionOverlap + seconds(1);
  EXPECT_TRUE(history.Accepts(ConfigVersion(4), kNow));
  EXPECT_FALSE(history.Accepts(ConfigVersion(4), later));
  EXPECT_FALSE(history.Accepts(ConfigVersion(2), kNow));
  EXPECT_TRUE(history.Accepts(ConfigVersion(5), later));
  EXPECT_TRUE(history.Accepts(ConfigVersion(6), later));
  EXPECT_FALSE(history.Accepts(ConfigVersion(6), later + kVersionOverlap + seconds(1)));
}

TEST(CapHistory, StaysBoundedUnderManyChangesAndKeepsTheSmallestShare) {
  CapHistory history;
  history.Apply(Config(1, 100, 0.1), kSettled, kNow);
  for (std::uint64_t version = 2; version < 200; ++version) {
    history.Apply(Config(version, static_cast<double>(100 + version), 0.8), kSettled, kNow);
  }
  EXPECT_EQ(history.BaseShare(kNow).value(), 2.5);
}

}  // namespace
}  // namespace heatherspan
