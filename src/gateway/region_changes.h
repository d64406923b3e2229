#pragma once

#include <vector>

#include "base/ids.h"
#include "gateway/traffic_policy.h"

namespace heatherspan {

/// A route whose allowed regions differ between two configurations.
struct RegionChange {
  RouteName route;
  std::vector<RegionName> from;
  std::vector<RegionName> to;
};

/// Returns the changes of the routes that are in both configurations, in the order of the later
/// one. The order of a route's regions doesn't matter.
auto RegionChanges(const TrafficPolicy& before, const TrafficPolicy& after)
    -> std::vector<RegionChange>;

}  // namespace heatherspan
