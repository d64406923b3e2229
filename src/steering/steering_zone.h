#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// An availability zone, indexed for steering decisions.
struct SteeringZone {
  ZoneName name;
  std::size_t region = 0;  ///< Index in SteeringView::regions().
  std::uint64_t hash = 0;
  bool drained = false;            ///< The document drains the zone or its region.
  std::vector<std::size_t> alive;  ///< Indices in SteeringView::nodes().
  std::vector<std::size_t> suspected;
};

}  // namespace heatherspan
