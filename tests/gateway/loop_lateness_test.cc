#include "gateway/loop_lateness.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kInterval = milliseconds(250);

/// Runs the ticks of an event loop that is late by a given time.
class LoopLatenessTest : public testing::Test {
 protected:
  auto Run(int ticks, Duration lag) -> void {
    for (int i = 0; i < ticks; ++i) {
      lateness_.OnTick(due_ + lag);
      due_ = std::max(due_ + kInterval, due_ + lag);
    }
  }

  LoopLateness lateness_{kInterval};
  MonotonicTime due_ = MonotonicTime(std::chrono::hours(1));
};

// Load: more requests than a small VM can carry, for seconds. Guards against a VM that goes on
// taking them, and against one that comes and goes at each tick.
TEST_F(LoopLatenessTest, ALastingLagMakesTheVmLateUntilItKeepsUpAgain) {
  Run(1, Duration::zero());
  Run(10, milliseconds(100));
  EXPECT_FALSE(lateness_.is_late());
  Run(LoopLateness::kLateTicks - 1, milliseconds(220));
  EXPECT_FALSE(lateness_.is_late());
  Run(1, milliseconds(220));
  EXPECT_TRUE(lateness_.is_late());
  // Between the bounds nothing changes.
  Run(20, milliseconds(150));
  EXPECT_TRUE(lateness_.is_late());
  Run(LoopLateness::kSoundTicks, milliseconds(10));
  EXPECT_FALSE(lateness_.is_late());
  EXPECT_TRUE(lateness_.is_reduced(due_));
  EXPECT_FALSE(lateness_.is_reduced(due_ + LoopLateness::kReducedTime));
}

// Guards against a VM that refuses requests after one pause, when it keeps up again.
TEST_F(LoopLatenessTest, OnePauseIsNoLateness) {
  Run(10, milliseconds(1));
  Run(1, seconds(3));
  Run(10, milliseconds(1));
  EXPECT_FALSE(lateness_.is_late());
  EXPECT_FALSE(lateness_.is_reduced(due_));
}

// Guards against requests that are sent on after their time, as they lay unread.
TEST_F(LoopLatenessTest, ARequestMayHaveWaitedForTheLoop) {
  Run(1, Duration::zero());
  EXPECT_EQ(lateness_.MaxWait(due_ - milliseconds(10)), Duration::zero());
  EXPECT_EQ(lateness_.MaxWait(due_ + milliseconds(900)), milliseconds(900));
  // What is read behind the late tick has not waited for it.
  Run(1, milliseconds(700));
  EXPECT_EQ(lateness_.MaxWait(due_ - milliseconds(10)), Duration::zero());
  Run(LoopLateness::kLateTicks, milliseconds(700));
  EXPECT_EQ(lateness_.MaxWait(due_ - milliseconds(10)), milliseconds(700));
}

}  // namespace
}  // namespace heatherspan
