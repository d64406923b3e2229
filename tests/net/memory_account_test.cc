#include "net/memory_account.h"

#include <gtest/gtest.h>

#include <list>
#include <vector>

namespace heatherspan {
namespace {

constexpr std::size_t kMiB = std::size_t{1024} * 1024;

/// Bodies that arrive in virtual time at an account of 48 MiB, 42 of them for large bodies.
class MemoryAccountTest : public testing::Test {
 protected:
  auto NewBody() -> ArrivingBody& {
    const auto number = static_cast<int>(bodies_.size());
    return bodies_.emplace_back(account_, MemoryUse::kRequests,
                                [this, number] { gave_way_.push_back(number); });
  }

  const std::shared_ptr<MemoryAccount> account_ = std::make_shared<MemoryAccount>(48 * kMiB);
  MonotonicTime now_{std::chrono::hours(1)};
  std::vector<int> gave_way_;
  std::list<ArrivingBody> bodies_;
};

// Load: many bodies of legal size are announced at once.
TEST_F(MemoryAccountTest, WhatIsAnnouncedAndDoesNotFitIsRefusedUnread) {
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(NewBody().OnBytes(0, 8 * kMiB, now_));
  for (int i = 0; i < 20; ++i) EXPECT_FALSE(NewBody().OnBytes(0, 8 * kMiB, now_));
  EXPECT_EQ(account_->total(), 40 * kMiB);
  EXPECT_TRUE(gave_way_.empty());
  EXPECT_EQ(account_->refusals(), 20U);
  // A small body gets through beside large ones.
  EXPECT_TRUE(NewBody().OnBytes(1000, 60'000, now_));
  // Those that were admitted are read to their end.
  EXPECT_TRUE(bodies_.front().OnBytes(8 * kMiB, 8 * kMiB, now_));
}

// Load: senders stop just short of the end and stay.
TEST_F(MemoryAccountTest, SlowBodiesGiveWayToNewOnes) {
  EXPECT_TRUE(NewBody().OnBytes(4 * kMiB, 8 * kMiB, now_));
  for (int i = 1; i < 5; ++i) EXPECT_TRUE(NewBody().OnBytes(8 * kMiB - 1, 8 * kMiB, now_));
  now_ += MemoryAccount::kSlowAfter;
  // The first goes on.
  EXPECT_TRUE(bodies_.front().OnBytes(8 * kMiB, 8 * kMiB, now_));
  EXPECT_TRUE(NewBody().OnBytes(0, 8 * kMiB, now_));
  ASSERT_EQ(gave_way_.size(), 1U);
  EXPECT_NE(gave_way_.front(), 0);
  EXPECT_LE(account_->total(), 42 * kMiB);
  const auto victim = std::next(bodies_.begin(), gave_way_.front());
  EXPECT_TRUE(victim->gave_way());
  EXPECT_FALSE(victim->OnBytes(8 * kMiB, 8 * kMiB, now_));
}

// Load: a crowd sends bodies in chunks, without stating their size.
TEST_F(MemoryAccountTest, TheLargestGivesWayWhileOthersGrow) {
  for (int i = 0; i < 24; ++i) NewBody();
  std::size_t size = 0;
  while (gave_way_.size() < 10 && size < 8 * kMiB) {
    size += MemoryAccount::kSmallBytes;
    int number = 0;
    for (auto& body : bodies_) {
      // The first sends twice as fast.
      body.OnBytes(number++ == 0 ? 2 * size : size, 0, now_);
      ASSERT_LE(account_->total(), 48 * kMiB);
    }
  }
  ASSERT_FALSE(gave_way_.empty());
  EXPECT_EQ(gave_way_.front(), 0);
}

// Guards against complete requests that are given up for new ones.
TEST_F(MemoryAccountTest, CompleteBodiesStay) {
  const HeldMemory complete(account_, MemoryUse::kRequests, 40 * kMiB);
  EXPECT_FALSE(NewBody().OnBytes(0, 8 * kMiB, now_));
  now_ += 2 * MemoryAccount::kSlowAfter;
  EXPECT_FALSE(NewBody().OnBytes(0, 8 * kMiB, now_));
  EXPECT_TRUE(NewBody().OnBytes(100, 0, now_));
  bodies_.clear();
  EXPECT_EQ(account_->total(), 40 * kMiB);
}

// Load: targets send answers without end.
TEST_F(MemoryAccountTest, AnswersLeaveRoomForRequests) {
  std::list<ArrivingBody> answers;
  for (int i = 0; i < 12; ++i) answers.emplace_back(account_, MemoryUse::kAnswers, [] {});
  for (std::size_t size = kMiB; size <= 7 * kMiB; size += kMiB) {
    for (auto& answer : answers) answer.OnBytes(size, 0, now_);
    ASSERT_LE(account_->total(), 24 * kMiB);
  }
  EXPECT_GT(account_->refusals(), 0U);
  EXPECT_TRUE(NewBody().OnBytes(0, 8 * kMiB, now_));
}

// Guards against a deployment whose smallest machine can't serve the largest body.
TEST_F(MemoryAccountTest, ASmallMachineHoldsOneBodyOfTheLargestSize) {
  const MemoryAccount account(MemoryAccount::BoundFor(160 * kMiB));
  EXPECT_GE(account.largest_body(), 64 * kMiB);
}

}  // namespace
}  // namespace heatherspan
