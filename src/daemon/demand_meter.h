#pragma once

#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// Estimates the rate at which requests arrive, refused ones included. Not thread-safe.
class DemandMeter {
 public:
  auto OnArrival(MonotonicTime now) -> void;
  auto Rate(MonotonicTime now) const -> RequestsPerSecond;

 private:
  auto DecayedCount(MonotonicTime now) const -> double;

  double count_ = 0;  ///< Arrivals, decayed exponentially.
  MonotonicTime updated_;
};

}  // namespace heatherspan
