#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "document/document.h"

namespace heatherspan {

/// Values by service and region, in the order of a document.
using ServiceRegionTable = std::vector<std::vector<double>>;

/// The capacity that the targets and caps of a document provide, in requests/s.
class CapacityTable {
 public:
  enum class Drains { kApplied, kIgnored };

  /// Zones in `lost` have no capacity.
  CapacityTable(const Document& document, Drains drains, const std::set<ZoneName>& lost = {});

  auto Slots(std::size_t service, std::size_t region) const -> int {
    return slots_[service][region];
  }
  /// The requests/s that the service's slots in the region can process at its expected time.
  auto ServiceCapacity(std::size_t service, std::size_t region) const -> double;
  auto TotalServiceCapacity(std::size_t service) const -> double;
  /// The cap of the region; zero when no zone of the region is available.
  auto Cap(std::size_t region) const -> double { return caps_[region]; }
  /// The lesser of the cap and the capacity of all services in the region.
  auto RegionCapacity(std::size_t region) const -> double;
  auto TotalCapacity() const -> double;
  /// The maximum number of entry VMs in the available zones of the region.
  auto MaxEntryVms(std::size_t region) const -> int { return max_entry_vms_[region]; }
  auto service_count() const -> std::size_t { return slots_.size(); }

 private:
  auto AddZones(const Document& document, const std::set<ZoneName>& unavailable_zones) -> void;
  auto AddSlots(const Document& document, const std::set<std::string>& drained_targets) -> void;

  std::map<ZoneName, std::size_t> region_of_zone_;
  std::vector<double> caps_;
  std::vector<int> max_entry_vms_;
  std::vector<double> expected_seconds_;  ///< Expected processing time of each service.
  std::vector<std::vector<int>> slots_;
};

}  // namespace heatherspan
