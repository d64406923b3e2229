#pragma once

#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// The zones and regions that the attempts of one request have used so far.
struct AttemptHistory {
  std::vector<ZoneName> attempted_zones;
  /// Regions to which the shift limiter has admitted the request. The limiter counts a request once
  /// for each region, whatever the number of attempts there.
  std::vector<RegionName> admitted_regions;
};

}  // namespace heatherspan
