#pragma once

#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// How fast a service's waiting requests are taken.
struct ServiceThroughput {
  int usable_slots = 1;
  Duration expected_time = std::chrono::milliseconds(20);  ///< Of one request at a target.
  /// The time between two starts of any service that the node's cap share allows; zero when the
  /// share doesn't limit.
  Duration min_start_interval{};
};

}  // namespace heatherspan
