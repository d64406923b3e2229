#pragma once

#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// Thresholds and durations of TargetPool.
struct TargetPoolOptions {
  /// The number of consecutive failures after which a target is ejected.
  int failures_to_eject = 3;
  /// The ejection duration doubles with each further ejection, up to the maximum.
  Duration base_ejection_duration = std::chrono::seconds(5);
  Duration max_ejection_duration = std::chrono::seconds(60);
  /// The time in which the slot limit of a cold target grows from one to all of its slots.
  Duration cold_ramp_duration = std::chrono::seconds(6);
  /// The same for a target that is new to this node. It is shorter, since requests from the
  /// target's previous owner may have warmed it up.
  Duration takeover_ramp_duration = std::chrono::milliseconds(1500);
  /// Reports are ignored from this age on.
  Duration report_lifetime = std::chrono::seconds(5);
  Duration probe_interval = std::chrono::seconds(5);
  /// The time for which a target's own "draining" answer takes precedence over reports of another
  /// state.
  Duration draining_answer_hold = std::chrono::seconds(10);
  /// The pause after a shed answer doubles with each further shed answer, up to the maximum.
  Duration base_shed_pause = std::chrono::milliseconds(10);
  Duration max_shed_pause = std::chrono::milliseconds(160);
  /// The pause between attempts at a failing target that may not be ejected because half of the
  /// pool already is. A failed target always has free slots, so without the pause it would attract
  /// most requests. The pause doubles with each further failure, up to the maximum.
  Duration base_failing_pause = std::chrono::milliseconds(250);
  Duration max_failing_pause = std::chrono::seconds(4);
};

}  // namespace heatherspan
