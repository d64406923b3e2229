#pragma once

#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// What was known when a request was last placed, whether or not a target was found.
struct PlacementRecord {
  ConfigVersion config;  ///< In force at that time.
  Duration state_age{};  ///< Since when the node's state may have lacked changes.
  std::vector<RegionName> allowed_regions;  ///< Of the request; all regions if empty.
};

}  // namespace heatherspan
