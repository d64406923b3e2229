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

/// Decides, for each service, which objects of this node's region have their primary target in the
/// region and which in another region. Load pattern: traffic is similar in all regions, but
/// capacity is not. At the peak of a wave of traffic, or when one of its zones is evacuated, the
/// targets of a small region are overloaded while others are idle. The local fraction follows the
/// reported utilization at a bounded rate. Objects are divided by their hash, so that all entry VMs
/// of a region agree on nearly all objects without messages and an object stays at the target that
/// has it cached.
class PrimaryRegionSelector {
 public:
  explicit PrimaryRegionSelector(RegionName own) : own_region_(std::move(own)) {}

  /// A target of the service in the region has reported its load.
  auto OnReport(const ServiceName& service, const RegionName& region, const LoadReport& report,
                MonotonicTime now) -> void;

  /// Returns the region of an object's primary target.
  auto PrimaryRegionOf(const ServiceName& service, ObjectHash object,
                       const std::vector<RegionCapacity>& capacities, MonotonicTime now)
      -> RegionName;

  /// Returns requests per slot of the service's targets in a region, as recently reported; empty
  /// without a report within the last seconds.
  auto Utilization(const ServiceName& service, const RegionName& region, MonotonicTime now) const
      -> std::optional<double>;
  /// Returns the fraction of objects whose primary region is this region; 1 before the first
  /// request.
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
