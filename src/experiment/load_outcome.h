#pragma once

#include <map>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// What became of the requests of a run, or of a part of them.
struct OutcomeCounts {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;

  auto InTimeShare() const -> double {
    return asked == 0 ? 1 : static_cast<double>(in_time) / asked;
  }
  auto ServedShare() const -> double {
    return asked == 0 ? 1 : static_cast<double>(in_time + late) / asked;
  }
};

/// The result of one run of a scenario.
struct LoadOutcome {
  OutcomeCounts total;
  std::map<ZoneName, OutcomeCounts> by_zone;
  std::vector<OutcomeCounts> by_second;  ///< By the second in which the caller first asked.
  int cold_runs = 0;  ///< Requests that met a target which did not know their object.
  int distinct_objects = 0;
  int target_refusals = 0;              ///< Attempts that a target refused.
  int arrivals = 0;                     ///< Attempts that reached a target.
  int left_region = 0;                  ///< Attempts at targets of another region.
  std::map<TargetName, int> by_target;  ///< Arrivals.

  /// All requests first asked in that span of seconds.
  auto Between(int from, int to) const -> OutcomeCounts;
  auto WorstZone() const -> double;
};

}  // namespace heatherspan
