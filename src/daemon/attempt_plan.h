#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "steering/live_node.h"

namespace heatherspan {

/// The zone and the node to which a receiving entry VM sends an attempt.
struct AttemptPlan {
  ZoneName zone;
  RegionName origin_region;   ///< Of the receiving entry VM, to which the response is sent.
  RegionName serving_region;  ///< Of the zone.
  LiveNode executing_node;
  Bytes reserved_bytes = Bytes(0);  ///< Of the budget of the link between the regions.
};

}  // namespace heatherspan
