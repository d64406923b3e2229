#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// The data of a request that the admission queue uses.
struct WaitingRequest {
  std::uint64_t id = 0;  ///< Assigned by the user of the queue; unique among waiting requests.
  ServiceName service;
  TeamName team;
  double value = 1;        ///< The value of the service.
  double team_weight = 1;  ///< The weight of the team.
  MonotonicTime deadline;
};

}  // namespace heatherspan
