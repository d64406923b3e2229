#include "gateway/answer_budget.h"

#include <gtest/gtest.h>

#include "gateway/large_answer_turn.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart = MonotonicTime(seconds(100));

// Guards against a VM that fills its link with large answers, or gives none any more.
TEST(AnswerBudgetTest, GivesWhatTheLinkCarries) {
  AnswerBudget budget(1'000'000);
  std::size_t given = 0;
  for (auto now = kStart; now < kStart + seconds(10); now += milliseconds(10)) {
    if (!budget.MayGive(now)) continue;
    budget.OnGiven(700'000, now);
    given += 700'000;
  }
  EXPECT_GT(given, 7'000'000U);
  EXPECT_LT(given, 10'000'000U);
}

// Guards against a VM that gives nothing because its link is not known.
TEST(AnswerBudgetTest, HasNoBoundForAnUnknownLink) {
  AnswerBudget budget(0);
  for (int i = 0; i < 100; ++i) budget.OnGiven(1'000'000, kStart);
  EXPECT_TRUE(budget.MayGive(kStart));
}

// Guards against two peers that fill the link at the same time, and against a silent one that keeps
// others from answering.
TEST(LargeAnswerTurnTest, IsKeptWhileTheAnswerArrives) {
  LargeAnswerTurn turn;
  EXPECT_TRUE(turn.IsFree(kStart, false));
  turn.Begin("a", kStart);
  EXPECT_FALSE(turn.IsFree(kStart + LargeAnswerTurn::kMaxSilence, false));
  const auto later = kStart + LargeAnswerTurn::kMaxSilence + milliseconds(1);
  EXPECT_FALSE(turn.IsFree(later, true));
  EXPECT_TRUE(turn.IsFree(later, false));
  turn.Begin("b", later);
  turn.End("a");
  EXPECT_FALSE(turn.IsFree(later, false));
  turn.End("b");
  EXPECT_TRUE(turn.IsFree(later, false));
}

}  // namespace
}  // namespace heatherspan
