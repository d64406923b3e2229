#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// What a step of a soak does.
enum class SoakAction {
  kStop,
  kKill,
  kKillAll,
  kPause,
  kReload,
  kCallersCut,
  kCallersReset,
  kStoreDown,
  kStoreCut,
  kStoreReset,
  kStoreSilence,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreForgets,
  kTargetCut,
  kTargetLosesAnswers,
  kTargetReset,
  kTargetSilence,
  kTargetSlow,
  kTargetCrash,
  kTargetLeave,
  kTargetTruncates,
  kTargetAddsBytes,
  kTargetSheds,
  kPolicy,
  kEvacuate,
  kBurst,
  kTargetNamesLimit,
  kStoreRestored,
  kStranded,
  kHarmfulRequests,
  kTargetRepeatsAnswers,
  kPolicyGrows,
  kNewsCut,
  kTargetStrays,
  kTargetRestarts,
};

/// One step. Its party is a gateway or a target, or a zone, by number.
struct SoakStep {
  Duration at{};
  SoakAction action = SoakAction::kStop;
  int party = 0;
  Duration length{};  ///< Until its effect ends, where it has one.
};

struct SoakSize {
  int gateways = 4;
  int targets = 8;
  int zones = 4;
  /// Targets send stray bytes and start again under their ids.
  bool has_strays = false;
};

auto ActionText(SoakAction action) -> std::string_view;
auto StepText(const SoakStep& step) -> std::string;

/// Draws overlapping series of steps; the same seed draws the same steps.
auto DrawSoakPlan(std::uint64_t seed, Duration length, const SoakSize& size)
    -> std::vector<SoakStep>;

}  // namespace heatherspan
