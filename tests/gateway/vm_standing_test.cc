#include "gateway/vm_standing.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

// Guards against a VM that uses its part of a limit while the others divide it, because the store
// has forgotten an announcement that it renewed a moment ago.
TEST(VmStanding, LapsesUntilTheRestoredStoreHasRenewedTheAnnouncement) {
  const std::vector<EntryVm> announced = {
      {NodeName("n"), ZoneName("z"), RegionName("r"), {"n", 1}, {"n", 2}}};
  VmStanding standing{NodeName("n")};
  standing.Update(announced, kStart);
  standing.OnAnnouncementRenewed(kStart + seconds(4));
  standing.Update(announced, kStart + seconds(4));
  ASSERT_EQ(standing.kind(), VmStanding::Kind::kActive);
  standing.OnStoreRestored();
  standing.Update(announced, kStart + milliseconds(4250));
  EXPECT_EQ(standing.kind(), VmStanding::Kind::kLapsed);
  standing.OnAnnouncementRenewed(kStart + seconds(5));
  standing.Update(announced, kStart + seconds(5));
  EXPECT_EQ(standing.kind(), VmStanding::Kind::kActive);
}

}  // namespace
}  // namespace heatherspan
