#pragma once

#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// The constants of TargetPool.
struct TargetPoolOptions {
  /// Consecutive failures that eject a target.
  int failures_to_eject = 3;
  Duration base_ejection_duration = std::chrono::seconds(5);
  Duration max_ejection_duration = std::chrono::seconds(60);
  /// The time over which a cold target's slot limit grows from one to all of its slots.
  Duration cold_ramp_duration = std::chrono::seconds(6);
  /// The same for a target that is new to this node. It is short, since the target may be warm from
  /// the work of its earlier owner.
  Duration takeover_ramp_duration = std::chrono::milliseconds(1500);
  /// Reports older than this are unknown.
  Duration report_lifetime = std::chrono::seconds(5);
  Duration probe_interval = std::chrono::seconds(5);
  /// How long a target's own "draining" answer outranks reports that say otherwise.
  Duration draining_answer_hold = std::chrono::seconds(10);
  /// The pause after a shed answer; it doubles with each further one, up to the longest.
  Duration base_shed_pause = std::chrono::milliseconds(10);
  Duration max_shed_pause = std::chrono::milliseconds(160);
  /// The pause between tries of a failing target that may not be ejected because half of the pool
  /// is. A dead target always has free slots, so without the pause it would draw most requests.
  Duration base_failing_pause = std::chrono::milliseconds(250);
  Duration max_failing_pause = std::chrono::seconds(4);
};

}  // namespace heatherspan
