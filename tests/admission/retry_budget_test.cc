#include "admission/retry_budget.h"

#include <gtest/gtest.h>

#include <set>

namespace heatherspan {
namespace {

// Guards against retries that amplify an outage: every request fails and asks for three retries.
TEST(RetryBudget, BoundsRetriesToATenthOfRequestsPlusTheInitialBalance) {
  RetryBudget budget;
  int retries = 0;
  for (int request = 1; request <= 10'000; ++request) {
    budget.OnRequest();
    for (int retry = 0; retry < 3; ++retry) retries += budget.TryRetry() ? 1 : 0;
    ASSERT_LE(retries, RetryBudget::kInitialBalance + 0.1 * request + 1e-6);
  }
  EXPECT_GE(retries, 1000);
}

// Guards against a burst of retries from a balance that grew during a long time without failures.
TEST(RetryBudget, BoundsTheBalance) {
  RetryBudget budget;
  for (int request = 0; request < 100'000; ++request) budget.OnRequest();
  int retries = 0;
  while (budget.TryRetry()) ++retries;
  EXPECT_LE(retries, RetryBudget::kMaxBalance);
}

// Guards against retries after one failure that all arrive at the same time.
TEST(RetryBudget, BackoffIsJitteredAndGrows) {
  constexpr std::uint64_t kSeed = 7;
  SCOPED_TRACE(testing::Message() << "seed " << kSeed);
  Random random(kSeed);
  std::set<Duration> pauses;
  for (int i = 0; i < 100; ++i) pauses.insert(RetryBudget::Backoff(1, random));
  EXPECT_GT(pauses.size(), 90U);
  EXPECT_GT(RetryBudget::Backoff(3, random), *pauses.rbegin());
  EXPECT_LE(RetryBudget::Backoff(1000, random), std::chrono::milliseconds(128));
}

}  // namespace
}  // namespace heatherspan
