#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "steering/live_node.h"

namespace heatherspan {

/// Where a first node sends an attempt.
struct AttemptPlan {
  ZoneName zone;
  RegionName origin;  ///< The region of the first node, to which the response travels.
  RegionName region;  ///< The region that serves.
  LiveNode executor;
  Bytes booked = Bytes(0);  ///< On the link between the regions.
};

}  // namespace heatherspan
