#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/object_memory.h"

namespace heatherspan {

/// The slots of a service's usable targets in one region.
struct RegionCapacity {
  RegionName region;
  int slots = 0;
};

/// Decides, for each service, which objects of this node's region have their home target there and
/// which in another region. Load pattern: traffic is alike in all regions, targets are not, so that
/// the targets of a small region are overloaded at the crest of a wave although others idle. The
/// part that stays follows the capacity and the demand slowly, and objects are divided by their
/// hash, so that all entry VMs of a region agree on nearly all objects without a message and an
/// object keeps its warm target.
class RegionSplit {
 public:
  explicit RegionSplit(RegionName own) : own_(std::move(own)) {}

  /// A request of the region arrived here; `work` is what it takes at a warm target.
  auto OnRequest(const ServiceName& service, Duration work, MonotonicTime now) -> void;

  /// The region of an object's home target. `entry_vms` is how many share the region's requests.
  auto HomeOf(const ServiceName& service, ObjectHash object,
              const std::vector<RegionCapacity>& capacities, int entry_vms, MonotonicTime now)
      -> RegionName;

  /// The part of the objects that stays; for logs.
  auto KeptPart(const ServiceName& service) const -> double;

 private:
  struct Demand {
    double busy_slots = 0;  ///< Slots that this node's requests keep busy, smoothed.
    double kept = -1;       ///< Part of the objects that stays; negative before the first request.
    MonotonicTime updated{};
    MonotonicTime adapted{};
  };

  auto Adapt(Demand& demand, const std::vector<RegionCapacity>& capacities, int entry_vms,
             MonotonicTime now) const -> void;

  RegionName own_;
  absl::flat_hash_map<ServiceName, Demand> demands_;
};

}  // namespace heatherspan
