#pragma once

#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "document/zone.h"

namespace heatherspan {

/// A region with its availability zones and its cap.
struct Region {
  RegionName name;
  RequestsPerSecond cap =
      RequestsPerSecond(0);  ///< Key cap_rps: maximum rate admitted to the region's targets.
  std::vector<Zone> zones;

  friend auto operator==(const Region&, const Region&) -> bool = default;
};

}  // namespace heatherspan
