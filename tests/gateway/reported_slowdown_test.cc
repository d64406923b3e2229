#include "gateway/reported_slowdown.h"

#include <gtest/gtest.h>

#include "gateway/gateway_core.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr auto kUsualTime = milliseconds(100);

// Guards against a target that is left alone after a slowdown which is over, and against a report
// that draws requests to a target.
TEST(ReportedSlowdown, CountsForAShortTime) {
  ReportedSlowdown slowdown;
  slowdown.OnReport(2.5, kStart);
  EXPECT_GT(slowdown.At(kStart), 1.8);
  EXPECT_LT(slowdown.At(kStart + milliseconds(600)), 1.3);
  EXPECT_LT(slowdown.At(kStart + seconds(2)), 1.01);
  // A queue of seconds outlasts the slowdown.
  EXPECT_LT(slowdown.Stretch(seconds(3), kStart), milliseconds(3400));
  slowdown.OnReport(0.2, kStart);
  EXPECT_EQ(slowdown.At(kStart), 1);
}

/// One entry VM and one target, without waits.
class ReportedSlowdownTest : public testing::Test {
 protected:
  ReportedSlowdownTest() : core_(Options(), 1) {
    route_.name = RouteName("r");
    route_.retry_rule = RetryRule::kIdempotent;
    route_.timeout = seconds(3);
    route_.objective = milliseconds(300);
    route_.weighted_services = {{ServiceName("s"), 1}};
    core_.fleet().Register({TargetName("t"), ServiceName("s"), ZoneName("a"), {"10.0.0.1", 1}, 3},
                           kStart);
    now_ += seconds(10);
  }

  static auto Options() -> GatewayCore::Options {
    GatewayCore::Options options;
    options.node = NodeName("n");
    options.location.zone = ZoneName("a");
    options.location.region = RegionName("r");
    options.location.zone_round_trip = Duration::zero();
    options.zones = {{ZoneName("a"), RegionName("r")}};
    return options;
  }

  auto Expected() -> Duration {
    const auto request = core_.Admit(RequestId("q"), route_, "", seconds(4), now_);
    return core_.Place(request, now_).placement->processing_time;
  }

  /// Has the target run a request for that long and report the slowdown with its answer.
  auto Run(Duration time, double reported) -> void {
    auto request = core_.Admit(RequestId("q"), route_, "", seconds(4), now_);
    const auto attempt = core_.BeginAttempt(request, *core_.Place(request, now_).placement, now_);
    now_ += time;
    core_.EndAttempt(request, attempt, AttemptOutcome::kSucceeded, LoadReport{0, 0, 3, reported},
                     now_);
    now_ += seconds(1);
  }

  GatewayCore core_;
  Route route_;
  MonotonicTime now_ = kStart;
};

// Load: a target that is slow for moments and says so. Guards against noise that is learned as the
// target's slowness or as the usual time of the route.
TEST_F(ReportedSlowdownTest, ReportedNoiseIsNotLearned) {
  for (int i = 0; i < 30; ++i) {
    Run(kUsualTime, 1);
    Run(kUsualTime * 5 / 2, 2.5);
  }
  EXPECT_GT(Expected(), kUsualTime * 9 / 10);
  EXPECT_LT(Expected(), kUsualTime * 11 / 10);
}

// Guards against noise that is taken out of runs which it has not touched, as it began or ended
// while they ran.
TEST_F(ReportedSlowdownTest, RunsThatAReportDoesNotFitCountAsTheyAre) {
  for (int i = 0; i < 10; ++i) Run(kUsualTime, 1);
  for (int i = 0; i < 10; ++i) Run(kUsualTime, 2.5);
  EXPECT_GT(Expected(), kUsualTime * 9 / 10);
  EXPECT_LT(Expected(), kUsualTime * 12 / 10);
}

// Guards against a target that is condemned by a false report, which none of its runs bears out.
TEST_F(ReportedSlowdownTest, AFalseReportLosesItsWeight) {
  for (int i = 0; i < 10; ++i) Run(kUsualTime, 1);
  for (int i = 0; i < 30; ++i) {
    Run(kUsualTime, 10);
    now_ -= seconds(1);
  }
  EXPECT_LT(Expected(), kUsualTime * 11 / 10);
}

// Guards against a target that is slow and reports nothing, and against a report that hides it.
TEST_F(ReportedSlowdownTest, OwnMeasurementsCountBesideReports) {
  for (int i = 0; i < 30; ++i) Run(kUsualTime, 1);
  for (int i = 0; i < 10; ++i) Run(kUsualTime * 6, 1.5);
  EXPECT_GT(Expected(), kUsualTime * 2);
}

// Guards against a time that the caller doesn't have, for a request that was read late.
TEST_F(ReportedSlowdownTest, TimeThatARequestLayUnreadIsGone) {
  const auto request =
      core_.Admit(RequestId("q"), route_, "", milliseconds(900), now_, milliseconds(700));
  EXPECT_LT(request.deadline(), now_ + milliseconds(200));
  EXPECT_LT(request.ObjectiveLeft(now_), Duration::zero());
}

}  // namespace
}  // namespace heatherspan
