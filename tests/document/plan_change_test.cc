#include "document/plan_change.h"

#include <gmock/gmock.h>

#include "document/plan_text.h"
#include "document_fixture.h"

namespace heatherspan {
namespace {

using testing::Contains;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

auto Drained(Document document, DrainScope scope, const std::string& name) -> Document {
  document.drains.push_back({scope, name, "maintenance"});
  return document;
}

TEST(PlanChange, ExamplesWithstandTheLossOfOneRegion) {
  for (const auto* name : {"stranokrak", "rotaciones"}) {
    const auto document = Example(name);
    const auto plan = PlanChange({}, document);
    EXPECT_THAT(plan.errors, IsEmpty());
    EXPECT_THAT(plan.warnings, IsEmpty());
    ASSERT_EQ(plan.regions.size(), 3U);
    ASSERT_EQ(plan.services.size(), 12U);
    EXPECT_EQ(plan.services[0].slots_before, 0);
    EXPECT_EQ(plan.services[0].slots_after, 12);
  }
}

// The expected numbers are calculated by hand: survey-desk has 12 slots of 20 ms in a region,
// which serve 600 requests/s. All services together serve 1,400 requests/s, limited by the cap of
// 1,200.
TEST(PlanChange, ComputesHeadroomFromSlotsAndCaps) {
  const auto document = Example("stranokrak");
  const auto plan = PlanChange(document, document);
  const auto& sofia = plan.regions[0];
  EXPECT_DOUBLE_EQ(sofia.load.value(), 600);
  EXPECT_DOUBLE_EQ(sofia.headroom.value(), 600);
  EXPECT_DOUBLE_EQ(sofia.headroom_without_entry_vm.value(), 1200 * (1 - 0.5 / 4) - 600);
  EXPECT_DOUBLE_EQ(sofia.headroom_without_zone.value(), 700 - 600);
  EXPECT_DOUBLE_EQ(sofia.headroom_without_region.value(), 2400 - 1800);
  const auto& desk = plan.services[0];
  EXPECT_NEAR(desk.load.value(), 600 * 0.5 * 1200 / 1400, 1e-6);
  EXPECT_NEAR(desk.headroom_without_zone.value(), 300 - desk.load.value(), 1e-6);
}

TEST(PlanChange, ShowsSlotsAndCapsBeforeAndAfterADrain) {
  const auto before = Example("stranokrak");
  const auto plan = PlanChange(before, Drained(before, DrainScope::kRegion, "varna"));
  EXPECT_EQ(plan.regions[2].cap_before.value(), 1200);
  EXPECT_EQ(plan.regions[2].cap_after.value(), 0);
  EXPECT_EQ(plan.services[2].slots_before, 12);
  EXPECT_EQ(plan.services[2].slots_after, 0);
  EXPECT_THAT(plan.errors, IsEmpty());
  // The remaining region could not serve the load after the loss of a second region.
  EXPECT_THAT(plan.warnings,
              Contains("without region sofia, the other regions serve 1200 of 1800 requests/s"));
  EXPECT_THAT(plan.notes,
              Contains("region varna: the traffic of survey-desk needs at least 50 s to leave"));
}

// Guards against the promotion of a drain that overloads the remaining regions.
TEST(PlanChange, ForbidsADrainThatOverloadsTheRemainingRegions) {
  const auto before = Drained(Example("stranokrak"), DrainScope::kRegion, "varna");
  const auto after = Drained(before, DrainScope::kRegion, "sofia");
  EXPECT_THAT(PlanChange(before, after).errors,
              Contains("drain of region sofia (maintenance): the regions that are left serve 1200 "
                       "of 1800 requests/s within their caps"));
}

// Guards against a plan that forbids every change that would reduce a shortage.
TEST(PlanChange, AllowsChangesWithoutANewDrainDuringAShortage) {
  auto before = Drained(Example("stranokrak"), DrainScope::kRegion, "varna");
  before = Drained(before, DrainScope::kRegion, "sofia");
  auto after = before;
  after.services[0].value = 7;
  const auto plan = PlanChange(before, after);
  EXPECT_THAT(plan.errors, IsEmpty());
  EXPECT_THAT(plan.warnings, Contains(HasSubstr("the regions that are left serve 1200 of 1800")));
}

TEST(PlanChange, ForbidsADrainOfTheLastTargetsOfAService) {
  auto before = Example("stranokrak");
  before.services[1].targets.resize(1);
  const auto plan = PlanChange(before, Drained(before, DrainScope::kTarget, "ledger-1"));
  ASSERT_EQ(plan.errors.size(), 1U);
  EXPECT_THAT(plan.errors[0], HasSubstr("the targets of ledger that are left serve 0 of"));
}

// Guards against a drain whose traffic the remaining targets can serve but the links cannot carry.
TEST(PlanChange, ForbidsADrainThatExceedsALinkBudget) {
  auto before = Example("stranokrak");
  before.services[3].mean_response = Bytes(500'000);
  const auto plan = PlanChange(before, Drained(before, DrainScope::kRegion, "varna"));
  EXPECT_THAT(plan.errors, Contains(HasSubstr("the link sofia -> varna would carry ")));
  EXPECT_THAT(PlanChange(before, before).warnings,
              Contains(HasSubstr("without region varna, the link sofia -> varna would carry ")));
}

TEST(PlanChange, ForbidsADrainOfEveryEntryVm) {
  const auto before = Example("stranokrak");
  auto after = before;
  for (int i = 0; i < 12; ++i) {
    after = Drained(after, DrainScope::kEntryVm, "entry-" + std::to_string(i));
  }
  EXPECT_THAT(PlanChange(before, after).errors, Contains(HasSubstr("no entry VM is left")));
}

TEST(PlanChange, UsesTheGivenLoadInsteadOfTheAssumedLoad) {
  const auto document = Example("stranokrak");
  const PlannedLoad load = {
      {{ServiceName("archive"), RegionName("varna")}, RequestsPerSecond(700)}};
  const auto plan = PlanChange(document, document, load);
  EXPECT_THAT(PlanLines(plan), Contains(HasSubstr("warning: the targets of archive that are left "
                                                  "serve 600 of ")));
}

}  // namespace
}  // namespace heatherspan
