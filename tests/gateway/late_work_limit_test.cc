#include "gateway/late_work_limit.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr auto kWork = milliseconds(100);
const ServiceName service("s");

// Load: an urgent and a less urgent kind, first with empty caches, when nothing can be on time,
// then with warm ones. Late work may wait as usual at first and gives way later, the less urgent to
// both kinds, the urgent one only to its own.
TEST(LateWorkLimit, LateWorkGivesWayToWorkThatIsAsUrgent) {
  LateWorkLimit limit;
  auto now = kStart;
  const auto play = [&](Duration length, bool can_be_on_time) {
    for (const auto end = now + length; now < end; now += milliseconds(20)) {
      limit.OnRequest(service, 0, kWork, can_be_on_time, now);
      limit.OnRequest(service, 2, 3 * kWork, can_be_on_time, now);
    }
  };
  constexpr double kOverload = 2;
  const auto wait_of = [&](int priority) {
    return LateWorkLimit::WaitFraction(kOverload, limit.PrecedingShare(service, priority));
  };
  EXPECT_EQ(wait_of(2), 1);
  play(seconds(4), false);
  EXPECT_EQ(wait_of(0), 1);
  EXPECT_EQ(wait_of(2), 1);
  play(seconds(10), true);
  EXPECT_EQ(wait_of(2), 0);
  EXPECT_GT(wait_of(0), 0.9);
  EXPECT_NEAR(limit.PrecedingShare(service, 0), 0.25, 0.02);
  // With room, late work displaces nothing.
  EXPECT_EQ(LateWorkLimit::WaitFraction(0.5, 1), 1);
}

// Guards against refusals that come and go with single requests.
TEST(LateWorkLimit, FollowsSlowly) {
  LateWorkLimit limit;
  for (auto now = kStart; now < kStart + seconds(10); now += milliseconds(20)) {
    limit.OnRequest(service, 0, kWork, true, now);
  }
  const double before = limit.PrecedingShare(service, 0);
  for (int i = 0; i < 10; ++i) {
    limit.OnRequest(service, 0, kWork, false, kStart + seconds(10) + milliseconds(20 * i));
  }
  EXPECT_NEAR(limit.PrecedingShare(service, 0), before, 0.15);
}

}  // namespace
}  // namespace heatherspan
