#pragma once

#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// A region in a steering view.
struct RegionTable {
  RegionName name;
  bool drained = false;
  std::vector<std::size_t> zones;    ///< Indices in SteeringView::zones().
  std::vector<Duration> one_way;     ///< To each region.
  std::vector<std::size_t> nearest;  ///< The other regions for look-up answers, best first.
  std::size_t live_nodes = 0;        ///< Alive and suspected ones.
};

}  // namespace heatherspan
