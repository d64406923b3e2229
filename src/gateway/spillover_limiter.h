#pragma once

#include <deque>

#include "base/time.h"

namespace heatherspan {

/// Limits how fast the share of requests that this node sends to other regions grows. Load pattern:
/// a region short of room spills over; without the limit the spill would flap between all and
/// nothing and meet cold targets each time.
class SpilloverLimiter {
 public:
  struct Limits {
    Duration window = std::chrono::seconds(2);
    double max_fraction_increase = 0.15;  ///< Of the share, from one window to the next.
  };

  explicit SpilloverLimiter(Limits limits) : limits_(limits) {}

  auto SetLimits(Limits limits) -> void { limits_ = limits; }
  /// Whether one more request may leave the region.
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
