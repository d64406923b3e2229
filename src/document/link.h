#pragma once

#include <chrono>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// The network link between two regions.
struct Link {
  RegionName a;
  RegionName b;
  MegabitsPerSecond capacity =
      MegabitsPerSecond(0);      ///< Key mbit_s: per direction, shared by all traffic.
  double usable_fraction = 0.5;  ///< The fraction that steering may use.
  Duration one_way = std::chrono::milliseconds(35);  ///< Key one_way_ms.

  friend auto operator==(const Link&, const Link&) -> bool = default;
};

}  // namespace heatherspan
