#pragma once

#include "base/time.h"

namespace heatherspan {

/// What a node's state of the store may lack, so that it asks its peers.
struct StateQuality {
  Duration age{};                  ///< The state may lack changes made in this time.
  bool removals_in_doubt = false;  ///< A peer may have heard the store meanwhile.
};

}  // namespace heatherspan
