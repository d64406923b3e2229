#pragma once

#include "admission/target_outcome.h"
#include "base/time.h"

namespace heatherspan {

/// The result of one request to a target, as the executing node observed it.
struct TargetResult {
  TargetOutcome outcome = TargetOutcome::kAnswered;
  Duration latency{};  ///< Measured from the first byte sent; used only with kAnswered.
};

}  // namespace heatherspan
