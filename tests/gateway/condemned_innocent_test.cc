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

// Guards against a harmful request that keeps none of the blame for a crash, since the VM had the
// refused connection that shows the crash before it saw the loss.
TEST(CondemnedInnocentTest, ALossThatIsSeenAfterTheRefusalCounts) {
  HarmGuard guard(NodeName("edge-2"));
  const auto lose = [&](const RequestDigest& request, MonotonicTime at) {
    guard.OnLost({request, Crash(8), ServiceName("rota-view"), milliseconds(16), at, true});
  };
  lose(kInnocent, kNow);
  guard.OnRefused(TargetName("i-8"), 12, kNow);
  lose(kHarmful, kNow + milliseconds(6));
  // The next process answers before its start is known.
  guard.OnTargetAnswered(TargetName("i-8"), kNow + milliseconds(2190));
  guard.OnStarted(TargetName("i-8"), 2, 12, kNow + milliseconds(2760));
  EXPECT_EQ(guard.suspects().CrashesOf(kHarmful).size(), 1U);
}

// Guards against a loss by the next process that counts for the crash of the one before.
TEST(CondemnedInnocentTest, ALossThatWasSentAfterTheRefusalIsAnotherOne) {
  HarmGuard guard(NodeName("edge-2"));
  guard.OnRefused(TargetName("i-8"), 12, kNow);
  guard.OnLost({kInnocent, Crash(8), ServiceName("rota-view"), milliseconds(16),
                kNow + milliseconds(300), true});
  EXPECT_EQ(guard.suspects().CrashesOf(kInnocent).size(), 0U);
}

/// Entry VMs that tell each other all that they know.
class CondemnedInnocentTrace : public testing::Test {
 protected:
  auto Lose(HarmGuard& vm, const RequestDigest& request, int target, int at_target_ms, int at_ms)
      -> void {
    vm.OnLost({request, Crash(target), kService, milliseconds(at_target_ms), At(at_ms), true});
  }
  auto Refuse(HarmGuard& vm, int target, int at_ms) -> void {
    vm.OnRefused(Crash(target).target, 12, At(at_ms));
    Exchange(at_ms);
  }
  auto Exchange(int at_ms) -> void {
    for (auto* teller : {&edge_0_, &edge_1_, &edge_2_, &edge_4_}) {
      for (auto* other : {&edge_0_, &edge_1_, &edge_2_, &edge_4_}) {
        if (other != teller) Tell(*other, teller->Reports(At(at_ms)), At(at_ms));
      }
    }
  }
  static auto At(int ms) -> MonotonicTime { return kNow + milliseconds(ms); }
  static auto Other(int number) -> RequestDigest { return {9, static_cast<std::uint64_t>(number)}; }

  const ServiceName kService{"rota-view"};
  HarmGuard edge_0_{NodeName("edge-0")};
  HarmGuard edge_1_{NodeName("edge-1")};
  HarmGuard edge_2_{NodeName("edge-2")};
  HarmGuard edge_4_{NodeName("edge-4")};
};

// Guards against a request that is condemned for two crashes of the targets' own, with an answer in
// between, and one crash of a harmful request. The times are those of soak seed 7003.
TEST_F(CondemnedInnocentTrace, OfTwoCrashesByChanceAndOneOfAHarmfulRequest) {
  Lose(edge_4_, Other(1), 3, 1350, 0);
  Lose(edge_4_, Other(2), 3, 1142, 0);
  Lose(edge_1_, Other(3), 3, 253, 0);
  Lose(edge_1_, kInnocent, 3, 919, 1);
  edge_1_.OnRequestUnanswered(kInnocent, At(1));
  Lose(edge_1_, Other(4), 3, 451, 1);
  Refuse(edge_4_, 3, 2);
  edge_0_.OnRequestAnswered(kInnocent, At(729));
  Lose(edge_0_, kInnocent, 6, 31, 769);
  Refuse(edge_0_, 6, 769);
  Lose(edge_0_, Other(5), 6, 724, 770);
  Lose(edge_0_, Other(1), 6, 112, 770);
  Refuse(edge_1_, 3, 1132);
  Lose(edge_0_, kInnocent, 8, 755, 1323);
  Refuse(edge_0_, 8, 1324);
  Lose(edge_2_, Other(6), 8, 156, 1324);
  Refuse(edge_2_, 8, 1324);
  Lose(edge_2_, kHarmful, 8, 16, 1330);
  Lose(edge_1_, kHarmful, 2, 7, 1460);
  Lose(edge_2_, kHarmful, 10, 1, 2068);
  Refuse(edge_2_, 10, 2070);
  Lose(edge_2_, kHarmful, 4, 22, 2094);
  Refuse(edge_2_, 4, 2095);
  Refuse(edge_1_, 2, 2140);
  edge_2_.OnTargetAnswered(Crash(8).target, At(3518));
  edge_2_.OnStarted(Crash(8).target, 2, 12, At(4084));
  Exchange(4084);
  for (const auto* vm : {&edge_0_, &edge_1_, &edge_2_, &edge_4_}) {
    EXPECT_EQ(vm->suspects().StandingOf(kHarmful, At(4084)), Standing::kCondemned);
    EXPECT_NE(vm->suspects().StandingOf(kInnocent, At(4084)), Standing::kCondemned);
  }
}

}  // namespace
}  // namespace heatherspan
