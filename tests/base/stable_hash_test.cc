#include "base/stable_hash.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

// Nodes of different builds must agree on owners, so the hash may never change.
TEST(StableHash, HasAFixedValue) {
  EXPECT_EQ(StableHash(""), 0x2d06800538d394c2ULL);
  EXPECT_NE(CombineHash(1, 2), CombineHash(2, 1));
}

TEST(RendezvousScore, FollowsTheWeights) {
  int wins = 0;
  constexpr int kKeys = 20'000;
  for (int key = 0; key < kKeys; ++key) {
    const auto hashed = StableHash("key", key);
    wins += RendezvousScore(hashed, 1, 3.0) > RendezvousScore(hashed, 2, 1.0) ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(wins) / kKeys, 0.75, 0.02);
}

}  // namespace
}  // namespace heatherspan
