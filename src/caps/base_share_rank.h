#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// An entry VM of a zone as membership shows it.
struct RankedVm {
  std::int64_t started_unix_ms = 0;
  InstanceId instance;
};

/// Decides whether an entry VM has a base share. The first entry_vms_max VMs of the zone by start
/// time, then instance id, have one. A VM that comes to rank among them gets its base share only
/// after a hold time (4.5 s), in which the VM that it replaces or outranks has noticed the change
/// or its own pause. A VM without a view for 2 s has no base share and starts the hold time anew.
class BaseShareRank {
 public:
  explicit BaseShareRank(RankedVm self) : self_(self) {}

  /// The view of the zone: every VM that is not dead, with or without the own one. To be called at
  /// least once a second, and on each change.
  auto OnZoneVms(const std::vector<RankedVm>& vms, int entry_vms_max, MonotonicTime now) -> void;

  /// Checked at each use of the base share.
  auto HasBaseShare(MonotonicTime now) const -> bool;

 private:
  RankedVm self_;
  std::optional<MonotonicTime> in_rank_since_;
  MonotonicTime last_view_time_;
};

}  // namespace heatherspan
