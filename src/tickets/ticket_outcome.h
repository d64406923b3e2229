#pragma once

#include <cstdint>

#include "base/reason.h"
#include "base/verdict.h"

namespace heatherspan {

/// The outcome of the request of a ticket.
struct TicketOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  std::uint32_t status = 0;  ///< HTTP status of the target's response; 0 if there is none.

  friend auto operator==(const TicketOutcome&, const TicketOutcome&) -> bool = default;
};

}  // namespace heatherspan
