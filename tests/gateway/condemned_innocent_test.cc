#include <gtest/gtest.h>

#include "fmt/format.h"
#include "gateway/harm_guard.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Standing = CrashSuspects::Standing;

constexpr auto kNow = MonotonicTime(std::chrono::hours(1));
constexpr RequestDigest kInnocent(1, 2);
constexpr RequestDigest kHarmful(3, 4);

auto Crash(int number) -> TargetCrash {
  return {TargetName(fmt::format("i-{}", number)), 1, {fmt::format("10.0.0.{}", number), 80}};
}

/// As a VM tells of a crash that it saw at the given time.
auto Report(const RequestDigest& request, int crash, const std::string& observer, MonotonicTime at,
            MonotonicTime now) -> CrashReport {
  return {request, Crash(crash), now - at, milliseconds(200), 1e-3, NodeName(observer)};
}

auto Tell(HarmGuard& guard, const std::vector<CrashReport>& reports, MonotonicTime now) -> void {
  guard.OnReports(
      reports, [](const TargetName&) { return std::optional(ServiceName("rota-view")); }, now);
}

// Guards against a request that one VM has served and that others keep under suspicion, since the
// answer comes after the crashes of other requests in a message.
TEST(CondemnedInnocentTest, AnAnswerIsToldBesideManySuspects) {
  HarmGuard answering(NodeName("edge-2"));
  HarmGuard other(NodeName("edge-3"));
  for (auto* guard : {&answering, &other}) {
    std::vector<CrashReport> reports;
    for (int i = 0; i < 40; ++i) {
      const RequestDigest request(9, static_cast<std::uint64_t>(i));
      reports.push_back(Report(request, 100 + i % 5, "edge-1", kNow, kNow));
    }
    for (int i = 0; i < 5; ++i) reports.push_back(Report(kHarmful, 100 + i, "edge-5", kNow, kNow));
    for (int i = 1; i <= 2; ++i) reports.push_back(Report(kInnocent, i, "edge-1", kNow, kNow));
    Tell(*guard, reports, kNow);
    ASSERT_EQ(guard->suspects().StandingOf(kInnocent, kNow), Standing::kProbable);
  }
  answering.OnRequestAnswered(kInnocent, kNow + seconds(1));
  const auto now = kNow + milliseconds(1200);
  Tell(other, answering.Reports(now), now);
  EXPECT_EQ(other.suspects().StandingOf(kInnocent, now), Standing::kClear);
}

// Guards against a crash that a later answer has cleared before the VM heard of the crash.
TEST(CondemnedInnocentTest, AnAnswerClearsAnEarlierCrashThatIsHeardOfLater) {
  HarmGuard guard(NodeName("edge-1"));
  Tell(guard, {Report(kHarmful, 1, "edge-4", kNow, kNow)}, kNow);
  guard.OnRequestAnswered(kInnocent, kNow + milliseconds(616));
  const auto now = kNow + milliseconds(1160);
  Tell(guard, {Report(kInnocent, 1, "edge-3", kNow, now)}, now);
  EXPECT_EQ(guard.suspects().StandingOf(kInnocent, now), Standing::kClear);
}

// Guards against a request that is served between its crashes and condemned for all of them: each
// VM knows the crashes that others tell of, and only its own answers.
TEST(CondemnedInnocentTest, ARequestThatIsServedBetweenCrashesIsNotCondemned) {
  HarmGuard serving(NodeName("edge-1"));
  HarmGuard other(NodeName("edge-2"));
  auto now = kNow;
  for (int crash = 1; crash <= 3; ++crash) {
    // The crash ends many requests; VMs hear of it after the innocent one has been served.
    const auto crashed_at = now;
    serving.OnRequestAnswered(kInnocent, now + milliseconds(600));
    now += milliseconds(1200);
    std::vector<CrashReport> reports = {Report(kInnocent, crash, "edge-3", crashed_at, now)};
    for (int i = 0; i < 30; ++i) {
      const RequestDigest request(9, static_cast<std::uint64_t>(30 * crash + i));
      reports.push_back(Report(request, crash, "edge-3", crashed_at, now));
    }
    Tell(serving, reports, now);
    Tell(other, reports, now);
    serving.OnRequestAnswered(kInnocent, now + seconds(1));
    now += milliseconds(1100);
    Tell(other, serving.Reports(now), now);
    Tell(serving, other.Reports(now), now);
  }
  EXPECT_NE(other.suspects().StandingOf(kInnocent, now), Standing::kCondemned);
  EXPECT_EQ(serving.suspects().StandingOf(kInnocent, now), Standing::kClear);
}

}  // namespace
}  // namespace heatherspan
