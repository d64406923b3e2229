#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include "admission/target_report.h"
#include "base/ids.h"

namespace heatherspan {

/// Reads the body of a target's response to GET /-/load.
auto ReadTargetReport(const TargetName& target, std::string_view body)
    -> absl::StatusOr<TargetReport>;

}  // namespace heatherspan
