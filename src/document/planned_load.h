#pragma once

#include <map>
#include <utility>

#include "base/ids.h"
#include "base/units.h"

namespace heatherspan {

/// The load to plan for, by service and by the region where the requests arrive.
using PlannedLoad = std::map<std::pair<ServiceName, RegionName>, RequestsPerSecond>;

}  // namespace heatherspan
