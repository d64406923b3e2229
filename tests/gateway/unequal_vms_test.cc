#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include "gateway/capacity_weight.h"
#include "gateway/entry_vm_directory.h"

namespace heatherspan {
namespace {

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

class UnequalVmsTest : public testing::Test {
 protected:
  auto Announce(const std::string& name, double weight, const std::string& zone = "a") -> void {
    directory_.Announce(
        {NodeName(name), ZoneName(zone), RegionName("r"), {name, 1}, {}, true, weight}, kStart);
  }

  auto Answer() -> std::vector<Endpoint> {
    return directory_.Answer(ZoneName("a"), RegionName("r"), {}, kStart).endpoints;
  }

  /// Has each of many callers pick one address of its answer. Returns the callers of each VM.
  auto Pick(int callers) -> std::map<std::string, int> {
    std::map<std::string, int> picked;
    for (int i = 0; i < callers; ++i) {
      const auto answer = Answer();
      ++picked[answer[std::uniform_int_distribution<std::size_t>(0, answer.size() - 1)(random_)]
                   .address];
    }
    return picked;
  }

  EntryVmDirectory directory_{{}, 7};
  Random random_{8};
};

// Load: a zone with two large VMs and ten with a fifth of their share of a core and a twentieth of
// their link. Guards against small VMs that get as many callers as the large ones, and against some
// that get none.
TEST_F(UnequalVmsTest, VmsGetCallersByTheirCapacity) {
  for (const auto* name : {"large-1", "large-2"}) Announce(name, CapacityWeight::Of(0.5, 200));
  for (int i = 0; i < 10; ++i) Announce("small-" + std::to_string(i), CapacityWeight::Of(0.1, 10));
  const auto picked = Pick(10'000);
  ASSERT_EQ(picked.size(), 12U);
  const auto fewest_of_large = std::min(picked.at("large-1"), picked.at("large-2"));
  for (const auto& [name, callers] : picked) {
    if (!name.starts_with("small")) continue;
    EXPECT_LT(5 * callers, fewest_of_large) << name;
    EXPECT_GT(callers, 100) << name;
  }
}

// Guards against callers that know only VMs which are lost together.
TEST_F(UnequalVmsTest, AnAnswerNamesSeveralVms) {
  Announce("large", 1);
  for (int i = 0; i < 5; ++i) Announce("small-" + std::to_string(i), CapacityWeight::kMin);
  for (int i = 0; i < 1000; ++i) EXPECT_GE(Answer().size(), 3U);
  directory_.Withdraw(NodeName("large"), false, kStart);
  EXPECT_EQ(Answer().size(), 5U);
}

// Guards against a change for deployments whose VMs are alike.
TEST_F(UnequalVmsTest, AlikeVmsAreAllNamed) {
  for (int i = 0; i < 8; ++i) Announce("vm-" + std::to_string(i), 0.23);
  Announce("other-zone", 0.5, "b");
  for (int i = 0; i < 100; ++i) EXPECT_EQ(Answer().size(), 8U);
}

}  // namespace
}  // namespace heatherspan
