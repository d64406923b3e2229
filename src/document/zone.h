#pragma once

#include "base/ids.h"

namespace heatherspan {

/// An availability zone.
struct Zone {
  ZoneName name;
  int entry_vms_max = 1;  ///< Maximum number of entry VMs that have a base share at one time.

  friend auto operator==(const Zone&, const Zone&) -> bool = default;
};

}  // namespace heatherspan
