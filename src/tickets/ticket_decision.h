#pragma once

#include <memory>

#include "base/refusal.h"
#include "base/time.h"
#include "tickets/saved_response.h"
#include "tickets/ticket_outcome.h"

namespace heatherspan {

/// What the owner of a ticket has to do with a request that carries it.
struct TicketDecision {
  enum class Action {
    kStart,   ///< Run it. Exactly one Finish must follow.
    kWait,    ///< The same request is running; answer with its result.
    kReplay,  ///< It is done; repeat the outcome.
    kRefuse,  ///< Answer with the refusal; nothing runs.
  };

  Action action = Action::kRefuse;

  /// For kStart. The sender compares a fresh time with it immediately before the first byte of each
  /// attempt. If the time is later, the process was paused: nothing is sent, and the ticket is
  /// finished as not run.
  MonotonicTime send_deadline;

  /// For kReplay.
  TicketOutcome outcome;
  /// For kReplay. Null if there was no answer or it exceeded the limits; then only the outcome is
  /// known.
  std::shared_ptr<const SavedResponse> response;

  /// For kRefuse.
  Refusal refusal;
};

}  // namespace heatherspan
