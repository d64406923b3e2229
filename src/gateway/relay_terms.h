#pragma once

#include <optional>

#include "base/verdict.h"
#include "gateway/route.h"

namespace heatherspan {

/// What an entry VM says of a request that it passes on to another one.
struct RelayTerms {
  RetryRule retry_rule = RetryRule::kAtMostOnce;
  Verdict verdict = Verdict::kNotRun;  ///< Of its own attempts.
  /// How often the request has arrived at targets; empty if the VM doesn't state it.
  std::optional<int> arrivals;
};

}  // namespace heatherspan
