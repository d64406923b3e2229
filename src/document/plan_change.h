#pragma once

#include "document/document.h"
#include "document/plan.h"
#include "document/planned_load.h"

namespace heatherspan {

/// The part of a region's capacity that counts as loaded when no load is known. Three equal regions
/// at half load survive the loss of one, but not of two.
inline constexpr double kAssumedUtilization = 0.5;

/// Plans the change from one sound document to another. The load is the given one, or where it
/// names no load for a service and region, the assumed part of what `after` could serve there
/// without drains. A shortage is a fault when `after` has a drain that `before` has not, and a
/// warning otherwise, so that a document may always be improved step by step.
auto PlanChange(const Document& before, const Document& after, const PlannedLoad& load = {})
    -> Plan;

}  // namespace heatherspan
