#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// Counts the outcomes of the requests of a run, or of a part of these requests.
struct RequestCounts {
  int submitted = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;

  auto InTimeFraction() const -> double {
    return submitted == 0 ? 1 : static_cast<double>(in_time) / submitted;
  }
  auto ServedFraction() const -> double {
    return submitted == 0 ? 1 : static_cast<double>(in_time + late) / submitted;
  }
};

/// The result of one run of a scenario.
struct LoadOutcome {
  RequestCounts total;
  std::map<ZoneName, RequestCounts> by_zone;
  std::map<std::string, RequestCounts> by_kind;
  std::vector<RequestCounts> by_second;  ///< By the second of the first submission.
  int uncached_runs = 0;  ///< Attempts run by a target that did not have the object cached.
  int distinct_objects = 0;
  int target_refusals = 0;                       ///< Attempts that a target refused.
  int arrivals = 0;                              ///< Attempts that reached a target.
  int sent_to_other_regions = 0;                 ///< Attempts at targets of another region.
  std::map<TargetName, int> arrivals_by_target;  ///< Attempts that reached the target.

  /// Counts the requests first submitted in the seconds [from, to).
  auto Between(int from, int to) const -> RequestCounts;
  auto WorstZoneInTimeFraction() const -> double;
};

}  // namespace heatherspan
