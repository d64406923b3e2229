#pragma once

#include <vector>

#include "base/ids.h"
#include "document/target.h"

namespace heatherspan {

/// The targets of one service that this node owns.
struct OwnedTargets {
  ServiceName service;
  int slots_per_target = 3;
  std::vector<Target> targets;
};

}  // namespace heatherspan
