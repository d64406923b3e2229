#pragma once

#include <memory>

#include "base/refusal.h"
#include "base/time.h"
#include "tickets/saved_response.h"
#include "tickets/ticket_outcome.h"

namespace heatherspan {

/// The decision of a ticket's owner about a request with this ticket.
struct TicketDecision {
  enum class Action {
    kStart,   ///< Run the request. Exactly one call of Finish must follow.
    kWait,    ///< The same request is running. Answer with its result.
    kReplay,  ///< The request has finished. Answer with its recorded outcome.
    kRefuse,  ///< Answer with the refusal. The request does not run.
  };

  Action action = Action::kRefuse;

  /// For kStart. The sender must read the clock immediately before the first byte of each attempt.
  /// If the deadline has passed, for example because the process was paused, the sender sends
  /// nothing and finishes the ticket as not run.
  MonotonicTime send_deadline;

  /// For kReplay.
  TicketOutcome outcome;
  /// For kReplay. Null if there was no response or the response exceeded the limits. Only the
  /// outcome is known then.
  std::shared_ptr<const SavedResponse> response;

  /// For kRefuse.
  Refusal refusal;
};

}  // namespace heatherspan
