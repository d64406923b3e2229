#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/verdict.h"
#include "gateway/route.h"

namespace heatherspan {

/// What an entry VM says of a request that it passes on to another one.
struct RelayTerms {
  RetryRule retry_rule = RetryRule::kAtMostOnce;
  Verdict verdict = Verdict::kNotRun;  ///< Of its own attempts.
  /// How often the request has arrived at targets; empty if the VM doesn't state it.
  std::optional<int> arrivals;
  /// The configuration that has to be in force, or a later one; zero if the VM doesn't state it.
  ConfigVersion config = {};
  /// The request stays in these regions; anywhere if empty, or if the VM doesn't state them.
  std::vector<RegionName> homes = {};
};

}  // namespace heatherspan
