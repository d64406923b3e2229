#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// A region before and after a change. Every zone counts with entry_vms_max entry VMs; the base
/// shares of those that do not run are not used.
struct RegionPlan {
  RegionName region;
  RequestsPerSecond cap_before;
  RequestsPerSecond cap_after;  ///< Zero in a drained region.
  RequestsPerSecond load;       ///< Planned load; see PlanChange.
  /// What the cap or the targets, whichever is less, leave above the load after a loss; negative
  /// when it falls short.
  RequestsPerSecond headroom;
  RequestsPerSecond headroom_without_entry_vm;
  RequestsPerSecond headroom_without_zone;  ///< Of the zone with the most capacity.
  /// What the other regions leave above the load of all regions.
  RequestsPerSecond headroom_without_region;
};

/// A service in a region before and after a change.
struct ServicePlan {
  ServiceName service;
  RegionName region;
  int slots_before = 0;
  int slots_after = 0;  ///< Without drained targets.
  RequestsPerSecond load;
  RequestsPerSecond headroom;
  RequestsPerSecond headroom_without_zone;
  RequestsPerSecond headroom_without_region;
};

/// The use of one direction of a link when a region is lost, or with none lost when `lost` is
/// empty.
struct LinkPlan {
  RegionName lost;
  RegionName from;  ///< The region that serves; responses leave it.
  RegionName to;
  MegabitsPerSecond used;
  MegabitsPerSecond usable;
};

/// What a change of documents would bring.
struct Plan {
  std::vector<RegionPlan> regions;
  std::vector<ServicePlan> services;
  std::vector<LinkPlan> links;
  std::vector<std::string> notes;
  std::vector<std::string> warnings;
  std::vector<std::string> errors;  ///< Each forbids promotion.
};

}  // namespace heatherspan
