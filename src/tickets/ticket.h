#pragma once

#include <compare>
#include <cstdint>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// The right to run one non-idempotent request at most once. The instance that issued the ticket is
/// its owner. Only the owner may start the request.
struct Ticket {
  InstanceId owner;
  NodeName owner_name;
  MonotonicTime issued;  ///< By the owner's monotonic clock; not comparable in any other process.
  std::uint64_t nonce = 0;

  friend auto operator==(const Ticket&, const Ticket&) -> bool = default;
};

}  // namespace heatherspan
