#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// A request as the admission queue sees it.
struct WaitingRequest {
  std::uint64_t id = 0;  ///< Chosen by the owner of the queue; unique among the waiting requests.
  ServiceName service;
  TeamName team;
  double value = 1;        ///< Of the service.
  double team_weight = 1;  ///< Of the team.
  MonotonicTime deadline;
};

}  // namespace heatherspan
