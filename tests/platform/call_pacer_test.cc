#include "platform/call_pacer.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(100)};

// Without the bound, a fleet that polls after an outage exceeds the platform's rates.
TEST(CallPacer, AdmitsABurstAndThenTheRate) {
  CallPacer pacer({.calls_per_second = 10, .burst = 2}, Random(1));
  EXPECT_EQ(pacer.TakeToken(kStart), Duration::zero());
  EXPECT_EQ(pacer.TakeToken(kStart), Duration::zero());
  EXPECT_EQ(pacer.TakeToken(kStart), milliseconds(100));
  EXPECT_EQ(pacer.TakeToken(kStart + milliseconds(100)), Duration::zero());
  EXPECT_EQ(pacer.TakeToken(kStart + milliseconds(150)), milliseconds(50));
}

TEST(CallPacer, SavesNoMoreThanTheBurst) {
  CallPacer pacer({.calls_per_second = 10, .burst = 1}, Random(1));
  EXPECT_EQ(pacer.TakeToken(kStart), Duration::zero());
  EXPECT_EQ(pacer.TakeToken(kStart + seconds(60)), Duration::zero());
  EXPECT_GT(pacer.TakeToken(kStart + seconds(60)), Duration::zero());
}

TEST(CallPacer, BacksOffLongerAfterEachFailureUpToTheMaximum) {
  CallPacer pacer({.backoff_min = milliseconds(100), .backoff_max = milliseconds(400)}, Random(1));
  EXPECT_EQ(pacer.BackoffLeft(kStart), Duration::zero());
  for (const auto most :
       {milliseconds(100), milliseconds(200), milliseconds(400), milliseconds(400)}) {
    pacer.OnFailure(kStart);
    EXPECT_LE(pacer.BackoffLeft(kStart), most);
    EXPECT_GE(pacer.BackoffLeft(kStart), most / 2);
  }
  EXPECT_EQ(pacer.BackoffLeft(kStart + milliseconds(400)), Duration::zero());
}

TEST(CallPacer, ForgetsFailuresAfterASuccess) {
  CallPacer pacer({}, Random(1));
  pacer.OnFailure(kStart);
  pacer.OnSuccess();
  EXPECT_EQ(pacer.BackoffLeft(kStart), Duration::zero());
}

// Nodes that failed together must not come back together.
TEST(CallPacer, DrawsItsBackoffFromTheSeed) {
  CallPacer a({}, Random(1));
  CallPacer b({}, Random(2));
  a.OnFailure(kStart);
  b.OnFailure(kStart);
  EXPECT_NE(a.BackoffLeft(kStart), b.BackoffLeft(kStart));
}

}  // namespace
}  // namespace heatherspan
