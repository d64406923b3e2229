#pragma once

#include "base/verdict.h"
#include "gateway/route.h"

namespace heatherspan {

/// What an entry VM says of a request that it passes on to another one.
struct RelayTerms {
  RetryRule retry_rule = RetryRule::kAtMostOnce;
  Verdict verdict = Verdict::kNotRun;  ///< Of its own attempts.
};

}  // namespace heatherspan
