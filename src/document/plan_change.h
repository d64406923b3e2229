#pragma once

#include "document/document.h"
#include "document/plan.h"
#include "document/planned_load.h"

namespace heatherspan {

/// The fraction of a region's capacity that is assumed to be in use when the load is unknown. Three
/// equal regions at half load can serve all requests without one region, but not without two.
inline constexpr double kAssumedUtilization = 0.5;

/// Plans the change from one valid document to another. For a service and region that are not in
/// `load`, the load is kAssumedUtilization of the capacity that `after` has there without drains. A
/// shortage is an error when `after` has a drain that `before` does not have, and a warning
/// otherwise, so that operators can end a shortage step by step.
auto PlanChange(const Document& before, const Document& after, const PlannedLoad& load = {})
    -> Plan;

}  // namespace heatherspan
