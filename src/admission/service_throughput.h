#pragma once

#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// The rate at which a service's waiting requests leave the queue.
struct ServiceThroughput {
  int usable_slots = 1;
  Duration expected_time = std::chrono::milliseconds(20);  ///< Per request, at a target.
  /// The minimum interval between starts of requests of any service, set by the node's share of the
  /// cap; zero when the share is not the limit.
  Duration min_start_interval{};
};

}  // namespace heatherspan
