#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// An entry VM of a zone as reported by membership.
struct RankedVm {
  std::int64_t started_unix_ms = 0;
  InstanceId instance;
};

/// Decides whether an entry VM has a base share. The VMs of a zone are ordered by start time, then
/// by instance id, and the first entry_vms_max of them have a base share. A VM that enters this
/// range gets its base share after a hold time of 4.5 s. Within the hold time, the VM that it
/// replaces or outranks detects the change or its own pause. A VM that has received no view for 2 s
/// has no base share, and its hold time restarts with the next view.
class BaseShareRank {
 public:
  explicit BaseShareRank(RankedVm self) : self_(self) {}

  /// Takes the view of the zone: all VMs that are not dead. This VM may be missing from it. Must be
  /// called at least once a second and on each change.
  auto OnZoneVms(const std::vector<RankedVm>& vms, int entry_vms_max, MonotonicTime now) -> void;

  /// Must be checked at each use of the base share.
  auto HasBaseShare(MonotonicTime now) const -> bool;

 private:
  RankedVm self_;
  std::optional<MonotonicTime> in_rank_since_;
  MonotonicTime last_view_time_;
};

}  // namespace heatherspan
