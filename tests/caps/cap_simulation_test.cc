#include "cap_simulation.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <iostream>

#include "base/number_text.h"

namespace heatherspan {
namespace {

using std::chrono::minutes;

constexpr std::uint64_t kSeeds = 16;

auto Seeds() -> std::pair<std::uint64_t, std::uint64_t> {
  const char* fixed = std::getenv("HS_SEED");
  if (fixed == nullptr) return {1, kSeeds};
  const auto seed = ParseNumber<std::uint64_t>(fixed).value_or(1);
  return {seed, seed};
}

// Guards against a sum of usable shares above the cap under loss, duplication, reordering, delay,
// pauses, replaced nodes and grantors, clock drift, store outages and changes of the cap.
TEST(CapSimulation, SumOfUsableSharesStaysWithinTheCap) {
  const auto [first, last] = Seeds();
  for (auto seed = first; seed <= last; ++seed) {
    CapSimulation::Options options;
    options.seed = seed;
    const auto result = CapSimulation(options).Run(minutes(10));
    std::cout << "HS_SEED=" << seed << " mean usable fraction " << result.mean_usable_fraction
              << " terms " << result.terms << " pauses " << result.pauses << " replacements "
              << result.replacements << " versions " << result.versions << "\n";
    EXPECT_FALSE(result.violation.has_value()) << *result.violation;
  }
}

// Guards against a check that never fails, and against schedules with too few faults to expose a
// faulty holder.
TEST(CapSimulation, ReportsAHolderThatUsesAnExpiredLease) {
  const auto [first, last] = Seeds();
  int found = 0;
  for (auto seed = first; seed <= last; ++seed) {
    CapSimulation::Options options;
    options.seed = seed;
    options.cap_changes = false;
    options.ignore_lease_end = true;
    const auto result = CapSimulation(options).Run(minutes(10));
    found += result.violation.has_value() ? 1 : 0;
  }
  std::cout << "violations reported in " << found << " of " << last - first + 1 << " schedules\n";
  EXPECT_EQ(found, static_cast<int>(last - first + 1));
}

// Guards against a grantor that stays within the cap only because it grants almost nothing.
TEST(CapSimulation, GrantsMostOfTheCapWithoutFailures) {
  CapSimulation::Options options;
  options.faults = false;
  options.cap_changes = false;
  const auto result = CapSimulation(options).Run(minutes(10));
  EXPECT_FALSE(result.violation.has_value()) << *result.violation;
  EXPECT_GT(result.mean_usable_fraction, 0.9);
  EXPECT_EQ(result.terms, 1);
}

}  // namespace
}  // namespace heatherspan
