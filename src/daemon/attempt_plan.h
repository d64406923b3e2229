#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "steering/live_node.h"

namespace heatherspan {

/// Where a first node sends an attempt.
struct AttemptPlan {
  ZoneName zone;
  RegionName origin_region;   ///< The region of the first node, to which the response travels.
  RegionName serving_region;  ///< The region that serves.
  LiveNode executing_node;
  Bytes reserved_bytes = Bytes(0);  ///< On the link between the regions.
};

}  // namespace heatherspan
