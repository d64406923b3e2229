#pragma once

#include "tickets/ticket_outcome.h"

namespace heatherspan {

/// What the owner knows of the request of a ticket.
struct TicketStatus {
  bool known = false;    ///< The outcome is final, or the request is running.
  bool running = false;  ///< It has started and has no outcome yet.
  TicketOutcome outcome;

  friend auto operator==(const TicketStatus&, const TicketStatus&) -> bool = default;
};

}  // namespace heatherspan
