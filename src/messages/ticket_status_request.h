#pragma once

#include <string>

namespace heatherspan {

/// Asks the owner of a ticket what became of its request.
struct TicketStatusRequest {
  std::string ticket;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(ticket);
  }
};

}  // namespace heatherspan
