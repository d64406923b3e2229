#pragma once

#include <string>
#include <vector>

#include "document/plan.h"

namespace heatherspan {

/// The plan as lines for operators, faults and warnings first.
auto PlanLines(const Plan& plan) -> std::vector<std::string>;

}  // namespace heatherspan
