#pragma once

#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// Estimates the arrival rate of requests, including refused requests. Not thread-safe.
class DemandMeter {
 public:
  auto OnArrival(MonotonicTime now) -> void;
  auto Rate(MonotonicTime now) const -> RequestsPerSecond;

 private:
  auto DecayedCount(MonotonicTime now) const -> double;

  double count_ = 0;  ///< Exponentially decayed number of arrivals.
  MonotonicTime updated_;
};

}  // namespace heatherspan
