#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/cached_objects.h"
#include "gateway/target_load.h"

namespace heatherspan {

/// The slots of a service's usable targets in one region.
struct RegionCapacity {
  RegionName region;
  int slots = 0;
};

/// Decides, for each service, which objects of this node's region have their home target there and
/// which in another region. Load pattern: traffic is alike in all regions, targets are not, so that
/// the targets of a small region are overloaded at the crest of a wave, or when one of its zones is
/// evacuated, although others idle. The part that stays follows the use that targets report, at a
/// bounded pace, and objects are divided by their hash, so that all entry VMs of a region agree on
/// nearly all objects without a message and an object keeps its warm target.
class PrimaryRegionSelector {
 public:
  explicit PrimaryRegionSelector(RegionName own) : own_region_(std::move(own)) {}

  /// A target of the service in that region has reported its load.
  auto OnReport(const ServiceName& service, const RegionName& region, const LoadReport& report,
                MonotonicTime now) -> void;

  /// The region of an object's home target.
  auto PrimaryRegionOf(const ServiceName& service, ObjectHash object,
                       const std::vector<RegionCapacity>& capacities, MonotonicTime now)
      -> RegionName;

  /// Requests for each slot of the service's targets in a region, as lately reported; empty if
  /// nothing has been reported for some seconds.
  auto Utilization(const ServiceName& service, const RegionName& region, MonotonicTime now) const
      -> std::optional<double>;
  /// The part of the objects that stays; 1 before the first request.
  auto LocalFraction(const ServiceName& service) const -> double;

 private:
  struct RegionUtilization {
    double value = 0;
    MonotonicTime updated{};
  };
  struct LocalPortion {
    double fraction = 1;
    MonotonicTime updated{};
  };

  auto UpdateLocalFraction(const ServiceName& service,
                           const std::vector<RegionCapacity>& capacities, MonotonicTime now)
      -> double;

  RegionName own_region_;
  absl::flat_hash_map<std::pair<ServiceName, RegionName>, RegionUtilization> utilizations_;
  absl::flat_hash_map<ServiceName, LocalPortion> local_portions_;
};

}  // namespace heatherspan
