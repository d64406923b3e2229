#pragma once

#include <string>
#include <vector>

#include "document/plan.h"

namespace heatherspan {

/// Returns the plan as lines for operators, with errors and warnings first.
auto PlanLines(const Plan& plan) -> std::vector<std::string>;

}  // namespace heatherspan
