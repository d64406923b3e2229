#pragma once

#include <cstdint>

#include "base/reason.h"
#include "base/verdict.h"

namespace heatherspan {

/// What the owner knows of the request of a ticket.
struct TicketStatusResponse {
  bool known = false;
  bool running = false;
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  std::uint32_t status = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(known, running, verdict, reason, status);
  }
};

}  // namespace heatherspan
