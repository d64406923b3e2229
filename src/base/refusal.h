#pragma once

#include <chrono>
#include <optional>

#include "base/reason.h"
#include "base/verdict.h"

namespace heatherspan {

/// Why a request got no answer from a target, and whether a target may have run it.
struct Refusal {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  std::optional<std::chrono::milliseconds> retry_after;

  friend auto operator==(const Refusal&, const Refusal&) -> bool = default;
};

}  // namespace heatherspan
