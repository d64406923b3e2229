#pragma once

#include <cstdint>

#include "base/reason.h"
#include "base/verdict.h"

namespace heatherspan {

/// What became of the request of a ticket.
struct TicketOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  std::uint32_t status = 0;  ///< HTTP status of the target's answer; 0 without one.

  friend auto operator==(const TicketOutcome&, const TicketOutcome&) -> bool = default;
};

}  // namespace heatherspan
