#pragma once

#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// How fast a service's waiting requests are taken.
struct ServicePace {
  int usable_slots = 1;
  Duration expected_time = std::chrono::milliseconds(20);  ///< Of one request at a target.
};

}  // namespace heatherspan
