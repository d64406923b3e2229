#include "soak/soak_plan.h"

#include <gtest/gtest.h>

#include <set>

namespace heatherspan {
namespace {

constexpr Duration kLength = std::chrono::seconds(12);

auto Texts(const std::vector<SoakStep>& plan) -> std::vector<std::string> {
  std::vector<std::string> texts;
  texts.reserve(plan.size());
  for (const auto& step : plan) texts.push_back(StepText(step));
  return texts;
}

auto Texts(std::uint64_t seed) -> std::vector<std::string> {
  return Texts(DrawSoakPlan(seed, kLength, {}));
}

auto IsOfAShape(const SoakStep& step) -> bool { return step.action >= SoakAction::kTargetStrays; }

// Guards against a failure that its seed doesn't bring back.
TEST(SoakPlan, ASeedDrawsTheSameSteps) {
  EXPECT_EQ(Texts(7), Texts(7));
  EXPECT_NE(Texts(7), Texts(8));
}

// Guards against a fault that is never drawn, and against faults that never overlap.
TEST(SoakPlan, DrawsEveryActionAndOverlaps) {
  std::set<SoakAction> drawn;
  bool overlap = false;
  for (const auto& step : DrawSoakPlan(1, std::chrono::hours(1), {.has_strays = true})) {
    drawn.insert(step.action);
    overlap = overlap || step.length > std::chrono::seconds(5);
  }
  EXPECT_EQ(drawn.size(), static_cast<std::size_t>(SoakAction::kTargetRestarts) + 1);
  EXPECT_TRUE(overlap);
}

// Guards against seeds that change their plans when a shape adds steps.
TEST(SoakPlan, StepsOfAShapeLeaveTheOthersAsTheyWere) {
  auto plan = DrawSoakPlan(7, kLength, {.has_strays = true});
  EXPECT_NE(Texts(plan), Texts(7));
  std::erase_if(plan, IsOfAShape);
  EXPECT_EQ(Texts(plan), Texts(7));
}

}  // namespace
}  // namespace heatherspan
