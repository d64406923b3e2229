#pragma once

#include "base/ids.h"

namespace heatherspan {

/// A target's answer to GET /-/load. The report may be late or wrong.
struct TargetReport {
  enum class State { kCold, kReady, kDraining };

  TargetName target;
  int slots = 0;
  int busy_slots = 0;
  State state = State::kReady;
};

}  // namespace heatherspan
