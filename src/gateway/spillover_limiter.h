#pragma once

#include <deque>

#include "base/time.h"

namespace heatherspan {

/// Limits how fast the fraction of requests grows that this node sends to other regions. Load
/// pattern: a region short of capacity spills over. Without the limit the spillover would oscillate
/// between all and nothing and cause cache misses each time.
class SpilloverLimiter {
 public:
  struct Limits {
    Duration window = std::chrono::seconds(2);
    double max_fraction_increase = 0.15;  ///< From one window to the next.
  };

  explicit SpilloverLimiter(Limits limits) : limits_(limits) {}

  auto SetLimits(Limits limits) -> void { limits_ = limits; }
  /// Returns whether one more request may leave the region.
  auto MaySpill(MonotonicTime now) -> bool;
  auto OnSent(bool spilled, MonotonicTime now) -> void;

 private:
  struct Sent {
    MonotonicTime at;
    bool spilled;
  };
  struct Counts {
    int sent = 0;
    int spilled = 0;
  };

  auto Count(MonotonicTime from, MonotonicTime to) const -> Counts;
  auto Expire(MonotonicTime now) -> void;

  Limits limits_;
  std::deque<Sent> sent_;
};

}  // namespace heatherspan
