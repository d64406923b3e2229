#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "document/document.h"

namespace heatherspan {

/// Services by regions, in the order of a document.
using ServiceRegionTable = std::vector<std::vector<double>>;

/// What the targets and caps of a document can serve, in requests/s.
class CapacityTable {
 public:
  enum class Drains { kApplied, kIgnored };

  /// Zones in `lost` count as having failed.
  CapacityTable(const Document& document, Drains drains, const std::set<ZoneName>& lost = {});

  auto Slots(std::size_t service, std::size_t region) const -> int {
    return slots_[service][region];
  }
  /// What the service's slots in the region can run at the expected time.
  auto ServiceCapacity(std::size_t service, std::size_t region) const -> double;
  auto TotalServiceCapacity(std::size_t service) const -> double;
  /// The cap; zero when the region has no zone left.
  auto Cap(std::size_t region) const -> double { return caps_[region]; }
  /// The cap or what the slots of all services can run, whichever is less.
  auto RegionCapacity(std::size_t region) const -> double;
  auto TotalCapacity() const -> double;
  /// Most entry VMs of the zones that are left.
  auto MaxEntryVms(std::size_t region) const -> int { return max_entry_vms_[region]; }
  auto service_count() const -> std::size_t { return slots_.size(); }

 private:
  auto AddZones(const Document& document, const std::set<ZoneName>& unavailable_zones) -> void;
  auto AddSlots(const Document& document, const std::set<std::string>& drained_targets) -> void;

  std::map<ZoneName, std::size_t> region_of_zone_;
  std::vector<double> caps_;
  std::vector<int> max_entry_vms_;
  std::vector<double> expected_seconds_;  ///< Expected time of each service.
  std::vector<std::vector<int>> slots_;
};

}  // namespace heatherspan
