#pragma once

#include <chrono>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// The network between two regions.
struct Link {
  RegionName a;
  RegionName b;
  MegabitsPerSecond capacity =
      MegabitsPerSecond(0);      ///< Key mbit_s: each way, shared by all traffic.
  double usable_fraction = 0.5;  ///< The part that steering may plan with.
  Duration one_way = std::chrono::milliseconds(35);  ///< Key one_way_ms.

  friend auto operator==(const Link&, const Link&) -> bool = default;
};

}  // namespace heatherspan
