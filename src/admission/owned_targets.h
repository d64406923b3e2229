#pragma once

#include <vector>

#include "base/ids.h"
#include "document/target.h"

namespace heatherspan {

/// A service with those of its targets that this node owns.
struct OwnedTargets {
  ServiceName service;
  int slots_per_target = 3;
  std::vector<Target> targets;
};

}  // namespace heatherspan
