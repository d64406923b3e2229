#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// An availability zone in a steering view.
struct SteeringZone {
  ZoneName name;
  std::size_t region = 0;  ///< Index in SteeringView::regions().
  std::uint64_t hash = 0;
  bool drained = false;            ///< By a drain of the zone or of its region.
  std::vector<std::size_t> alive;  ///< Indices in SteeringView::nodes().
  std::vector<std::size_t> suspected;
};

}  // namespace heatherspan
