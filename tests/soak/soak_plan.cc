#include "soak/soak_plan.h"

#include <algorithm>
#include <iterator>
#include <random>

#include "base/random.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

enum class Party { kGateway, kTarget, kZone };

struct ActionInfo {
  SoakAction action;
  std::string_view text;
  double weight;  ///< How often it is drawn, relative to the others.
  Party party;
  milliseconds shortest;
  milliseconds longest;
};

/// Lengths reach from under to over the figures by which the programs give up or hold on: connect
/// and acknowledgement times, lease lifetimes, the grace of a stop.
constexpr ActionInfo kActions[] = {
    {SoakAction::kStop, "stop", 3, Party::kGateway, milliseconds(300), milliseconds(2000)},
    {SoakAction::kKill, "kill", 2, Party::kGateway, milliseconds(300), milliseconds(9000)},
    {SoakAction::kKillAll, "kill-all", 0.3, Party::kGateway, milliseconds(300), milliseconds(1500)},
    {SoakAction::kPause, "pause", 2, Party::kGateway, milliseconds(100), milliseconds(4000)},
    {SoakAction::kReload, "reload", 2, Party::kGateway, milliseconds(0), milliseconds(0)},
    {SoakAction::kCallersCut, "callers-cut", 1, Party::kGateway, milliseconds(200),
     milliseconds(3000)},
    {SoakAction::kCallersReset, "callers-reset", 1, Party::kGateway, milliseconds(0),
     milliseconds(0)},
    {SoakAction::kStoreDown, "store-down", 1.5, Party::kGateway, milliseconds(300),
     milliseconds(6000)},
    {SoakAction::kStoreCut, "store-cut", 1.5, Party::kGateway, milliseconds(300),
     milliseconds(6000)},
    {SoakAction::kStoreReset, "store-reset", 1, Party::kGateway, milliseconds(0), milliseconds(0)},
    {SoakAction::kStoreSilence, "store-silence", 1, Party::kGateway, milliseconds(0),
     milliseconds(0)},
    {SoakAction::kStoreSlow, "store-slow", 1, Party::kGateway, milliseconds(500),
     milliseconds(5000)},
    {SoakAction::kStoreLosesAnswers, "store-loses-answers", 1, Party::kGateway, milliseconds(300),
     milliseconds(4000)},
    {SoakAction::kStoreForgets, "store-forgets", 0.7, Party::kGateway, milliseconds(0),
     milliseconds(0)},
    {SoakAction::kTargetCut, "target-cut", 1, Party::kTarget, milliseconds(300),
     milliseconds(5000)},
    {SoakAction::kTargetLosesAnswers, "target-loses-answers", 1, Party::kTarget, milliseconds(300),
     milliseconds(4000)},
    {SoakAction::kTargetReset, "target-reset", 1.5, Party::kTarget, milliseconds(0),
     milliseconds(0)},
    {SoakAction::kTargetSilence, "target-silence", 1, Party::kTarget, milliseconds(0),
     milliseconds(0)},
    {SoakAction::kTargetSlow, "target-slow", 1, Party::kTarget, milliseconds(500),
     milliseconds(5000)},
    {SoakAction::kTargetCrash, "target-crash", 1.5, Party::kTarget, milliseconds(500),
     milliseconds(6000)},
    {SoakAction::kTargetLeave, "target-leave", 2, Party::kTarget, milliseconds(500),
     milliseconds(4000)},
    {SoakAction::kTargetTruncates, "target-truncates", 1, Party::kTarget, milliseconds(200),
     milliseconds(2000)},
    {SoakAction::kTargetAddsBytes, "target-adds-bytes", 1, Party::kTarget, milliseconds(200),
     milliseconds(2000)},
    {SoakAction::kTargetSheds, "target-sheds", 1, Party::kTarget, milliseconds(300),
     milliseconds(4000)},
    {SoakAction::kPolicy, "policy", 3, Party::kGateway, milliseconds(0), milliseconds(0)},
    {SoakAction::kEvacuate, "evacuate", 1, Party::kZone, milliseconds(3000), milliseconds(9000)},
    {SoakAction::kBurst, "burst", 1, Party::kGateway, milliseconds(500), milliseconds(3000)},
    // Drawn by itself.
    {SoakAction::kTargetNamesLimit, "target-names-limit", 0, Party::kTarget, milliseconds(6000),
     milliseconds(14000)},
    {SoakAction::kStoreRestored, "store-restored", 0, Party::kGateway, milliseconds(500),
     milliseconds(9000)},
    {SoakAction::kStranded, "stranded", 0, Party::kGateway, milliseconds(5000),
     milliseconds(12000)},
    {SoakAction::kHarmfulRequests, "harmful-requests", 0, Party::kGateway, milliseconds(4000),
     milliseconds(15000)},
    {SoakAction::kTargetRepeatsAnswers, "target-repeats-answers", 0, Party::kTarget,
     milliseconds(500), milliseconds(5000)},
    {SoakAction::kPolicyGrows, "policy-grows", 0, Party::kGateway, milliseconds(2000),
     milliseconds(7000)},
    {SoakAction::kNewsCut, "news-cut", 0, Party::kGateway, milliseconds(2000), milliseconds(8000)},
    {SoakAction::kTargetStrays, "target-strays", 0, Party::kTarget, milliseconds(3000),
     milliseconds(6000)},
    {SoakAction::kTargetRestarts, "target-restarts", 0, Party::kTarget, milliseconds(50),
     milliseconds(2500)},
};

constexpr milliseconds kMeanGap(700);
/// These have sequences of their own, so that the other steps of a seed stay the same.
constexpr std::uint64_t kLimitSequence = 0x11317;
constexpr milliseconds kMeanLimitGap(8000);
constexpr std::uint64_t kRestoreSequence = 0x2e570;
constexpr milliseconds kMeanRestoreGap(20000);
constexpr std::uint64_t kStrandedSequence = 0x57a4d;
constexpr milliseconds kMeanStrandedGap(6000);
constexpr std::uint64_t kHarmfulSequence = 0xba4f;
constexpr milliseconds kMeanHarmfulGap(10000);
constexpr std::uint64_t kRepeatSequence = 0x4e9ea7;
constexpr milliseconds kMeanRepeatGap(1500);
constexpr std::uint64_t kGrowthSequence = 0x9204;
constexpr milliseconds kMeanGrowthGap(6000);
constexpr std::uint64_t kNewsCutSequence = 0x2e35;
constexpr milliseconds kMeanNewsCutGap(10000);
constexpr std::uint64_t kStraySequence = 0x57a45;
constexpr milliseconds kMeanStrayGap(1500);
constexpr std::uint64_t kRestartSequence = 0x4e57a;
constexpr milliseconds kMeanRestartGap(500);
/// The same again, or on another party, soon after.
constexpr double kSeriesPart = 0.35;
constexpr milliseconds kSeriesGap(250);

auto Info(SoakAction action) -> const ActionInfo& {
  return *std::find_if(std::begin(kActions), std::end(kActions),
                       [&](const ActionInfo& info) { return info.action == action; });
}

auto DrawAction(Random& random) -> const ActionInfo& {
  std::vector<double> weights;
  for (const auto& info : kActions) weights.push_back(info.weight);
  return kActions[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random)];
}

auto DrawParty(Party party, const SoakSize& size, Random& random) -> int {
  const int count = party == Party::kGateway  ? size.gateways
                    : party == Party::kTarget ? size.targets
                                              : size.zones;
  return std::uniform_int_distribution(0, count - 1)(random);
}

/// Draws the steps of one action.
auto DrawSequence(SoakAction action, std::uint64_t seed, milliseconds mean_gap, Duration length,
                  const SoakSize& size, std::vector<SoakStep>& plan) -> void {
  Random random(seed);
  const auto& info = Info(action);
  std::uniform_int_distribution<std::int64_t> gap(0, 2 * mean_gap.count());
  std::uniform_int_distribution<std::int64_t> span(info.shortest.count(), info.longest.count());
  for (Duration at = milliseconds(gap(random)) / 2; at < length; at += milliseconds(gap(random))) {
    plan.push_back(
        {at, info.action, DrawParty(info.party, size, random), milliseconds(span(random))});
  }
}

}  // namespace

auto ActionText(SoakAction action) -> std::string_view { return Info(action).text; }

auto StepText(const SoakStep& step) -> std::string {
  return fmt::format(
      "{:6.3f} s {} {} for {} ms", std::chrono::duration<double>(step.at).count(),
      fmt::string_view(ActionText(step.action).data(), ActionText(step.action).size()), step.party,
      duration_cast<milliseconds>(step.length).count());
}

auto DrawSoakPlan(std::uint64_t seed, Duration length, const SoakSize& size)
    -> std::vector<SoakStep> {
  Random random(seed);
  std::exponential_distribution<double> gap(1.0 / static_cast<double>(kMeanGap.count()));
  std::bernoulli_distribution in_series(kSeriesPart);
  std::vector<SoakStep> plan;
  Duration at = std::chrono::seconds(1);
  const auto* info = &DrawAction(random);
  while (at < length) {
    const auto longest = std::uniform_int_distribution<std::int64_t>(info->shortest.count(),
                                                                     info->longest.count())(random);
    plan.push_back({at, info->action, DrawParty(info->party, size, random), milliseconds(longest)});
    if (in_series(random)) {
      at += kSeriesGap;
    } else {
      at += milliseconds(static_cast<std::int64_t>(gap(random)));
      info = &DrawAction(random);
    }
  }
  DrawSequence(SoakAction::kTargetNamesLimit, seed ^ kLimitSequence, kMeanLimitGap, length, size,
               plan);
  DrawSequence(SoakAction::kStoreRestored, seed ^ kRestoreSequence, kMeanRestoreGap, length, size,
               plan);
  DrawSequence(SoakAction::kStranded, seed ^ kStrandedSequence, kMeanStrandedGap, length, size,
               plan);
  DrawSequence(SoakAction::kHarmfulRequests, seed ^ kHarmfulSequence, kMeanHarmfulGap, length, size,
               plan);
  DrawSequence(SoakAction::kTargetRepeatsAnswers, seed ^ kRepeatSequence, kMeanRepeatGap, length,
               size, plan);
  DrawSequence(SoakAction::kPolicyGrows, seed ^ kGrowthSequence, kMeanGrowthGap, length, size,
               plan);
  DrawSequence(SoakAction::kNewsCut, seed ^ kNewsCutSequence, kMeanNewsCutGap, length, size, plan);
  if (size.has_strays) {
    DrawSequence(SoakAction::kTargetStrays, seed ^ kStraySequence, kMeanStrayGap, length, size,
                 plan);
    DrawSequence(SoakAction::kTargetRestarts, seed ^ kRestartSequence, kMeanRestartGap, length,
                 size, plan);
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const SoakStep& a, const SoakStep& b) { return a.at < b.at; });
  return plan;
}

}  // namespace heatherspan
