#pragma once

#include "tickets/ticket_outcome.h"

namespace heatherspan {

/// The status of a ticket's request as recorded by the owner.
struct TicketStatus {
  bool known = false;    ///< Either the outcome is final or the request is running.
  bool running = false;  ///< The request has started and has no outcome yet.
  TicketOutcome outcome;

  friend auto operator==(const TicketStatus&, const TicketStatus&) -> bool = default;
};

}  // namespace heatherspan
