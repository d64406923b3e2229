#include "gateway/crash_suspects.h"

#include <gtest/gtest.h>

#include "fmt/format.h"
#include "gateway/harm_guard.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Standing = CrashSuspects::Standing;

constexpr auto kNow = MonotonicTime(std::chrono::hours(1));
constexpr RequestDigest kRequest(1, 2);

auto Crash(int number, std::int64_t start = 1) -> TargetCrash {
  const auto name = std::to_string(number);
  return {TargetName("i-" + name), start, {"10.0.0." + name, 80}};
}

auto Report(const TargetCrash& crash, const std::string& observer = "vm", double chance = 1e-4,
            RequestDigest request = kRequest) -> CrashReport {
  return {request, crash, Duration::zero(), milliseconds(50), chance, NodeName(observer)};
}

auto Answered() -> CrashReport {
  return {kRequest, std::nullopt, Duration::zero(), Duration::zero(), 1, NodeName("vm-b")};
}

class CrashSuspectsTest : public testing::Test {
 protected:
  CrashSuspects suspects_{NodeName("vm")};
};

// Guards against a crash that counts once for each VM that tells of it.
TEST_F(CrashSuspectsTest, ACrashCountsOnce) {
  for (const auto* observer : {"vm", "vm-b", "vm-c"})
    suspects_.OnReport(Report(Crash(1), observer), kNow);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kSuspected);
}

TEST_F(CrashSuspectsTest, ThreeCrashesCondemn) {
  for (int i = 0; i < 3; ++i) suspects_.OnReport(Report(Crash(i)), kNow);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kCondemned);
}

// Guards against a request that is condemned because its targets crash anyway.
TEST_F(CrashSuspectsTest, CrashesThatChanceExplainsDoNotCondemn) {
  for (int i = 0; i < 3; ++i) suspects_.OnReport(Report(Crash(i), "vm", 0.1), kNow);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kProbable);
  for (int i = 3; i < 6; ++i) suspects_.OnReport(Report(Crash(i), "vm", 0.1), kNow);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kCondemned);
}

TEST_F(CrashSuspectsTest, EvidenceTellsWhatAnotherRequestExplains) {
  const RequestDigest harmful(3, 4);
  for (int i = 0; i < 3; ++i) suspects_.OnReport(Report(Crash(i), "vm-b", 1e-3), kNow);
  for (int i = 2; i < 6; ++i) suspects_.OnReport(Report(Crash(i), "vm", 1e-4, harmful), kNow);
  const auto evidence = suspects_.EvidenceOf(kRequest);
  ASSERT_EQ(evidence.size(), 3U);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(evidence[i].crash, Crash(i));
    EXPECT_EQ(evidence[i].at, kNow);
    EXPECT_EQ(evidence[i].at_target, milliseconds(50));
    EXPECT_EQ(evidence[i].chance, 1e-3);
    EXPECT_EQ(evidence[i].observer, NodeName("vm-b"));
    EXPECT_EQ(evidence[i].is_explained, i == 2) << i;
  }
  EXPECT_TRUE(suspects_.EvidenceOf(RequestDigest(5, 6)).empty());
}

// Guards against a target that closes connections on purpose and so takes requests away.
TEST_F(CrashSuspectsTest, ASingleMachineCondemnsNothing) {
  for (int start = 1; start < 9; ++start) suspects_.OnReport(Report(Crash(1, start)), kNow);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kProbable);
}

// Guards against an innocent request that has been at the targets of a harmful one.
TEST_F(CrashSuspectsTest, ARequestWithMoreCrashesExplainsThem) {
  const RequestDigest harmful(3, 4);
  for (int i = 0; i < 3; ++i) suspects_.OnReport(Report(Crash(i)), kNow);
  for (int i = 0; i < 3; ++i) suspects_.OnReport(Report(Crash(i), "vm", 1e-4, harmful), kNow);
  // Nothing tells the two apart yet.
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kProbable);
  EXPECT_EQ(suspects_.StandingOf(harmful, kNow), Standing::kProbable);
  suspects_.OnReport(Report(Crash(3), "vm", 1e-4, harmful), kNow);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kProbable);
  EXPECT_EQ(suspects_.StandingOf(harmful, kNow), Standing::kCondemned);
}

// Guards against crashes that nothing explains, since their harmful request has met so many.
TEST_F(CrashSuspectsTest, TheLastTargetsOfAHarmfulRequestCondemnNoOther) {
  constexpr int kTargets = 16;
  const RequestDigest harmful(3, 4);
  for (int i = 0; i < kTargets; ++i)
    suspects_.OnReport(Report(Crash(i), "vm", 1e-4, harmful), kNow);
  for (int i = kTargets - 3; i < kTargets; ++i) suspects_.OnReport(Report(Crash(i)), kNow);
  EXPECT_EQ(suspects_.StandingOf(harmful, kNow), Standing::kCondemned);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kProbable);
}

TEST_F(CrashSuspectsTest, AnAnswerClears) {
  for (int i = 0; i < 4; ++i) suspects_.OnReport(Report(Crash(i)), kNow);
  EXPECT_TRUE(suspects_.OnReport(Answered(), kNow));
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kClear);
  // A report that is older than the answer says nothing new.
  auto late = Report(Crash(5));
  late.age = seconds(1);
  EXPECT_FALSE(suspects_.OnReport(late, kNow));
}

// Guards against a belief that outlives the fault, and against trials that end targets often.
TEST_F(CrashSuspectsTest, TrialsComeWithAGrowingPause) {
  for (int i = 0; i < 3; ++i) suspects_.OnReport(Report(Crash(i)), kNow);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow + seconds(59)), Standing::kCondemned);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow + seconds(60)), Standing::kOnTrial);
  suspects_.OnReport(Report(Crash(3)), kNow + seconds(61));
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow + seconds(180)), Standing::kCondemned);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow + seconds(181)), Standing::kOnTrial);
}

// Guards against a VM that starts minutes later and sends a condemned request.
TEST_F(CrashSuspectsTest, WhatIsCondemnedIsToldForAsLongAsItLasts) {
  for (int i = 0; i < 6; ++i) suspects_.OnReport(Report(Crash(i)), kNow);
  const auto later = kNow + minutes(5);
  CrashSuspects started(NodeName("vm-new"));
  for (const auto& report : suspects_.Reports(later)) started.OnReport(report, later);
  EXPECT_EQ(started.StandingOf(kRequest, later), Standing::kCondemned);
}

// Guards against suspicions that VMs keep alive by telling each other in circles.
TEST_F(CrashSuspectsTest, ASuspicionIsToldForAMinute) {
  suspects_.OnReport(Report(Crash(1), "vm-b"), kNow);
  suspects_.OnReport(Report(Crash(2), "vm-b"), kNow);
  EXPECT_EQ(suspects_.Reports(kNow + seconds(59)).size(), 2U);
  EXPECT_TRUE(suspects_.Reports(kNow + seconds(61)).empty());
}

// Guards against memory that grows with requests, and against a flood that pushes out the harmful.
TEST_F(CrashSuspectsTest, AFloodOfOtherRequestsPushesNoCondemnedOneOut) {
  for (int i = 0; i < 3; ++i) suspects_.OnReport(Report(Crash(i)), kNow);
  for (std::uint64_t i = 0; i < 3 * CrashSuspects::kMaxRequests; ++i) {
    suspects_.OnReport(Report(Crash(9), "vm", 1e-4, RequestDigest(9, i)), kNow);
  }
  EXPECT_LE(suspects_.Entries(kNow).size(), CrashSuspects::kMaxRequests);
  EXPECT_LE(suspects_.Reports(kNow).size(), CrashSuspects::kMaxReports);
  EXPECT_EQ(suspects_.StandingOf(kRequest, kNow), Standing::kCondemned);
}

// Guards against harmful requests that other VMs never hear of, as one with many crashes fills the
// message.
TEST_F(CrashSuspectsTest, ARequestWithManyCrashesKeepsNoOtherFromBeingTold) {
  for (std::uint64_t harmful = 1; harmful <= 4; ++harmful) {
    for (int i = 0; i < 12; ++i) {
      const auto number = static_cast<int>(harmful) * 20 + i;
      suspects_.OnReport(Report(Crash(number), "vm", 1e-4, RequestDigest(7, harmful)), kNow);
    }
  }
  suspects_.OnReport(Report(Crash(1), "vm-b"), kNow);
  suspects_.OnReport(Answered(), kNow + milliseconds(1));
  suspects_.OnReport(Report(Crash(2), "vm-b"), kNow + milliseconds(2));
  CrashSuspects other(NodeName("vm-c"));
  other.OnReport(Report(Crash(1), "vm-b"), kNow);
  for (const auto& report : suspects_.Reports(kNow + milliseconds(2))) {
    other.OnReport(report, kNow + milliseconds(2));
  }
  for (std::uint64_t harmful = 1; harmful <= 4; ++harmful) {
    EXPECT_EQ(other.StandingOf(RequestDigest(7, harmful), kNow), Standing::kCondemned) << harmful;
  }
  // One crash was before the answer.
  EXPECT_EQ(other.CrashesOf(kRequest), std::vector{Crash(2)});
}

// Guards against a trial at each VM.
TEST(HarmGuardTest, OneVmTriesACondemnedRequest) {
  std::vector<EntryVm> vms;
  vms.reserve(7);
  for (int i = 0; i < 7; ++i) {
    vms.push_back({NodeName("vm-" + std::to_string(i)), ZoneName("z"), RegionName("r"), {}, {}});
  }
  int trials = 0;
  for (const auto& vm : vms) {
    HarmGuard guard(vm.name);
    const auto no_service = [](const TargetName&) { return std::optional<ServiceName>(); };
    guard.OnReports({Report(Crash(1)), Report(Crash(2)), Report(Crash(3))}, no_service, kNow);
    EXPECT_EQ(guard.Rule(kRequest, vms, kNow), HarmGuard::Ruling::kRefuse);
    if (guard.Rule(kRequest, vms, kNow + minutes(1)) == HarmGuard::Ruling::kSendOnlyApart) ++trials;
  }
  EXPECT_EQ(trials, 1);
}

// Guards against a lost connection that is taken for a crash.
TEST(HarmGuardTest, ATargetThatAnswersHasNotCrashed) {
  HarmGuard guard(NodeName("vm"));
  guard.OnLost({kRequest, Crash(1), ServiceName("s"), milliseconds(20), kNow, true});
  EXPECT_EQ(guard.Rule(kRequest, {}, kNow), HarmGuard::Ruling::kSendApart);
  guard.OnTargetAnswered(TargetName("i-1"), kNow + milliseconds(1));
  guard.OnRefused(TargetName("i-1"), 12, kNow + milliseconds(2));
  EXPECT_TRUE(guard.suspects().empty());
  EXPECT_TRUE(guard.IsIdle());
}

// Guards against a target that is cut off and taken for one that has crashed.
TEST(HarmGuardTest, ATargetThatIsSilentIsNotJudged) {
  HarmGuard guard(NodeName("vm"));
  guard.OnLost({kRequest, Crash(1), ServiceName("s"), milliseconds(20), kNow, true});
  guard.OnRefused(TargetName("i-1"), 12, kNow + seconds(6));
  EXPECT_TRUE(guard.suspects().empty());
}

// Guards against crashes that several VMs keep to themselves, one each.
TEST(HarmGuardTest, TellsOfAFirstCrashWhenTheRequestEndsUnanswered) {
  HarmGuard guard(NodeName("vm"));
  const std::vector<EntryVm> vms = {{NodeName("vm-b"), ZoneName("z"), RegionName("r"), {}, {}}};
  guard.OnLost({kRequest, Crash(1), ServiceName("s"), milliseconds(20), kNow, true});
  guard.OnRefused(TargetName("i-1"), 12, kNow);
  EXPECT_TRUE(guard.TakeRecipients(vms).empty());
  guard.OnRequestUnanswered(kRequest, kNow);
  EXPECT_EQ(guard.TakeRecipients(vms).size(), 1U);
  EXPECT_EQ(guard.Reports(kNow).size(), 1U);
  // The request may be over before the crash is certain.
  HarmGuard late(NodeName("vm"));
  late.OnLost({kRequest, Crash(1), ServiceName("s"), milliseconds(20), kNow, true});
  late.OnRequestUnanswered(kRequest, kNow);
  late.OnRefused(TargetName("i-1"), 12, kNow);
  EXPECT_EQ(late.TakeRecipients(vms).size(), 1U);
}

TEST(HarmGuardTest, ANewStartShowsACrash) {
  HarmGuard guard(NodeName("vm"));
  guard.OnLost({kRequest, Crash(1), ServiceName("s"), milliseconds(20), kNow, true});
  guard.OnStarted(TargetName("i-1"), 1, 12, kNow + seconds(1));
  EXPECT_TRUE(guard.suspects().empty());
  guard.OnStarted(TargetName("i-1"), 2, 12, kNow + seconds(2));
  EXPECT_EQ(guard.suspects().StandingOf(kRequest, kNow), Standing::kSuspected);
}

// Guards against an answer that clears nothing, as the VM that got it heard of the crash later.
TEST(HarmGuardTest, AnAnswerClearsCrashesThatAreHeardOfLater) {
  const auto no_service = [](const TargetName&) { return std::optional<ServiceName>(); };
  HarmGuard guard(NodeName("vm"));
  guard.OnRequestAnswered(kRequest, kNow);
  std::vector<CrashReport> reports;
  for (int i = 0; i < 3; ++i) {
    reports.push_back(Report(Crash(i), "vm-b"));
    reports.back().age = milliseconds(200);
  }
  guard.OnReports(reports, no_service, kNow + milliseconds(100));
  EXPECT_EQ(guard.Rule(kRequest, {}, kNow + milliseconds(100)), HarmGuard::Ruling::kSend);
  // Others hear of the answer.
  const auto told = guard.Reports(kNow + milliseconds(100));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].crash, std::nullopt);
  EXPECT_EQ(told[0].age, milliseconds(100));
  // What crashes after the answer counts.
  HarmGuard later(NodeName("vm"));
  later.OnRequestAnswered(kRequest, kNow - milliseconds(300));
  later.OnReports(reports, no_service, kNow + milliseconds(100));
  EXPECT_EQ(later.Rule(kRequest, {}, kNow + milliseconds(100)), HarmGuard::Ruling::kRefuse);
}

// Guards against a request that is condemned since each VM that lost it saw one crash of many.
TEST(HarmGuardTest, ACrashOfManyTargetsAtOnceCondemnsNothing) {
  constexpr std::size_t kTargets = 100;
  const ServiceName service("s");
  const auto service_of = [&](const TargetName&) { return std::optional(service); };
  std::vector<HarmGuard> guards;
  for (int vm = 0; vm < 3; ++vm) {
    auto& guard = guards.emplace_back(NodeName("vm-" + std::to_string(vm)));
    guard.OnLost({kRequest, Crash(vm), service, milliseconds(300), kNow, false});
    guard.OnRefused(Crash(vm).target, kTargets, kNow + milliseconds(10));
    // This VM has nothing at the others, but its probes are refused there.
    for (int i = 20 * (vm + 1); i < 20 * (vm + 2); ++i) {
      guard.OnDown(service, Crash(i), kTargets, kNow + milliseconds(200));
    }
  }
  for (auto& to : guards) {
    for (const auto& from : guards) {
      to.OnReports(from.Reports(kNow + milliseconds(210)), service_of, kNow + milliseconds(220));
    }
  }
  for (const auto& guard : guards) {
    EXPECT_EQ(guard.suspects().CrashesOf(kRequest).size(), 3U);
    EXPECT_EQ(guard.suspects().StandingOf(kRequest, kNow + milliseconds(220)), Standing::kProbable);
  }
}

// Guards against a wrong belief of one VM that others take over though they know better.
TEST(HarmGuardTest, AChanceIsTheHighestThatAnyVmKnowsOf) {
  constexpr std::size_t kTargets = 100;
  const ServiceName service("s");
  const auto service_of = [&](const TargetName&) { return std::optional(service); };
  HarmGuard guard(NodeName("vm"));
  std::vector<CrashReport> reports;
  for (int i = 0; i < 3; ++i) {
    reports.push_back(Report(Crash(i), "vm-b", 1e-5));
    reports.back().at_target = milliseconds(300);
  }
  guard.OnReports(reports, service_of, kNow);
  EXPECT_EQ(guard.suspects().StandingOf(kRequest, kNow), Standing::kCondemned);
  for (int i = 10; i < 30; ++i) guard.OnDown(service, Crash(i), kTargets, kNow + milliseconds(200));
  EXPECT_EQ(guard.suspects().StandingOf(kRequest, kNow), Standing::kProbable);
}

TEST(CrashReportTest, MalformedTextIsLeftOut) {
  const auto digest = RequestDigest(1, 2).Text();
  for (const std::string text :
       {"", "-", "x - 1 vm", " i-1 1 10.0.0.1:80 1 1 0.5 vm", "i-1 1 10.0.0.1:99999 1 1 0.5 vm",
        "i-1 1 10.0.0.1:80 -1 1 0.5 vm", "i-1 1 10.0.0.1:80 1 1 1.5 vm",
        "i-1 1 10.0.0.1:80 1 1 nan vm", "i-1 9223372036854775808 10.0.0.1:80 1 1 0.5 vm",
        "- 99999999999 vm", "- 1 "}) {
    EXPECT_TRUE(ReadCrashReports(fmt::format("{} {}", digest, text)).empty()) << text;
  }
}

}  // namespace
}  // namespace heatherspan
