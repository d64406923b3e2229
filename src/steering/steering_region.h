#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// A region to which callers of another region may be sent. Regions of the same rank are equally
/// good.
struct RankedRegion {
  std::size_t region = 0;
  int rank = 0;
};

/// A region, indexed for steering decisions.
struct SteeringRegion {
  RegionName name;
  std::uint64_t hash = 0;
  bool drained = false;
  std::vector<std::size_t> zones;           ///< Indices in SteeringView::zones().
  std::vector<Duration> one_way;            ///< To each region.
  std::vector<bool> linked;                 ///< The document has a link to each region.
  std::vector<RankedRegion> other_regions;  ///< For look-up answers, best first.
  std::size_t live_nodes = 0;               ///< Alive and suspected nodes.
};

}  // namespace heatherspan
