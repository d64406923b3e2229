#include "soak/soak_plan.h"

#include <gtest/gtest.h>

#include <set>

namespace heatherspan {
namespace {

constexpr Duration kLength = std::chrono::seconds(12);

auto Texts(std::uint64_t seed, Duration length = kLength) -> std::vector<std::string> {
  std::vector<std::string> texts;
  for (const auto& step : DrawSoakPlan(seed, length, {})) texts.push_back(StepText(step));
  return texts;
}

// Guards against a failure that its seed doesn't bring back.
TEST(SoakPlan, ASeedDrawsTheSameSteps) {
  EXPECT_EQ(Texts(7), Texts(7));
  EXPECT_NE(Texts(7), Texts(8));
}

// Guards against a fault that is never drawn, and against faults that never overlap.
TEST(SoakPlan, DrawsEveryActionAndOverlaps) {
  std::set<SoakAction> drawn;
  bool overlap = false;
  for (const auto& step : DrawSoakPlan(1, std::chrono::hours(1), {})) {
    drawn.insert(step.action);
    overlap = overlap || step.length > std::chrono::seconds(5);
  }
  EXPECT_EQ(drawn.size(), static_cast<std::size_t>(SoakAction::kTargetRepeatsAnswers) + 1);
  EXPECT_TRUE(overlap);
}

}  // namespace
}  // namespace heatherspan
