#pragma once

#include "admission/target_outcome.h"
#include "base/time.h"

namespace heatherspan {

/// What an executing node saw of one request to a target.
struct TargetResult {
  TargetOutcome outcome = TargetOutcome::kAnswered;
  Duration latency{};  ///< From the first byte sent; used only with kAnswered.
};

}  // namespace heatherspan
