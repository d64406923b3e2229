#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// A region before and after a change. Every zone is assumed to run entry_vms_max entry VMs; the
/// base shares of entry VMs that do not run are unused.
struct RegionPlan {
  RegionName region;
  RequestsPerSecond cap_before;
  RequestsPerSecond cap_after;  ///< Zero in a drained region.
  RequestsPerSecond load;       ///< The load that is planned for; see PlanChange.
  /// The lesser of the cap and the capacity of the targets, minus the load; negative when the
  /// capacity is below the load. The headrooms below assume a loss.
  RequestsPerSecond headroom;
  RequestsPerSecond headroom_without_entry_vm;
  RequestsPerSecond headroom_without_zone;  ///< Without the zone with the most capacity.
  /// The capacity of the other regions minus the load of all regions.
  RequestsPerSecond headroom_without_region;
};

/// A service in a region before and after a change.
struct ServicePlan {
  ServiceName service;
  RegionName region;
  int slots_before = 0;
  int slots_after = 0;  ///< Excludes drained targets.
  RequestsPerSecond load;
  RequestsPerSecond headroom;
  RequestsPerSecond headroom_without_zone;
  RequestsPerSecond headroom_without_region;
};

/// The traffic in one direction of a link when a region is lost. With an empty `lost`, no region is
/// lost.
struct LinkPlan {
  RegionName lost;
  RegionName from;  ///< The region that serves the requests and sends the responses.
  RegionName to;
  MegabitsPerSecond used;
  MegabitsPerSecond usable;
};

/// The predicted effects of a change from one document to another.
struct Plan {
  std::vector<RegionPlan> regions;
  std::vector<ServicePlan> services;
  std::vector<LinkPlan> links;
  std::vector<std::string> notes;
  std::vector<std::string> warnings;
  std::vector<std::string> errors;  ///< Each error forbids promotion.
};

}  // namespace heatherspan
