#pragma once

#include <map>
#include <utility>

#include "base/ids.h"
#include "base/units.h"

namespace heatherspan {

/// The load to plan with, by service and by the region where it arrives.
using PlannedLoad = std::map<std::pair<ServiceName, RegionName>, RequestsPerSecond>;

}  // namespace heatherspan
