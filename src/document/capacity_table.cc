#include "document/capacity_table.h"

#include <algorithm>
#include <chrono>

namespace heatherspan {
namespace {

/// Returns the zones that are drained directly or with their region.
auto DrainedZones(const Document& document) -> std::set<ZoneName> {
  std::set<ZoneName> zones;
  for (const auto& drain : document.drains) {
    if (drain.scope == DrainScope::kZone) zones.insert(ZoneName(drain.name));
    if (drain.scope != DrainScope::kRegion) continue;
    for (const auto& region : document.regions) {
      if (region.name.value() != drain.name) continue;
      for (const auto& zone : region.zones) zones.insert(zone.name);
    }
  }
  return zones;
}

auto DrainedTargets(const Document& document) -> std::set<std::string> {
  std::set<std::string> targets;
  for (const auto& drain : document.drains) {
    if (drain.scope == DrainScope::kTarget) targets.insert(drain.name);
  }
  return targets;
}

}  // namespace

CapacityTable::CapacityTable(const Document& document, Drains drains,
                             const std::set<ZoneName>& lost) {
  auto unavailable_zones = lost;
  if (drains == Drains::kApplied) unavailable_zones.merge(DrainedZones(document));
  AddZones(document, unavailable_zones);
  AddSlots(document,
           drains == Drains::kApplied ? DrainedTargets(document) : std::set<std::string>());
}

auto CapacityTable::AddZones(const Document& document, const std::set<ZoneName>& unavailable_zones)
    -> void {
  for (std::size_t r = 0; r < document.regions.size(); ++r) {
    const auto& region = document.regions[r];
    int max_entry_vms = 0;
    for (const auto& zone : region.zones) {
      if (unavailable_zones.contains(zone.name)) continue;
      region_of_zone_.emplace(zone.name, r);
      max_entry_vms += zone.entry_vms_max;
    }
    max_entry_vms_.push_back(max_entry_vms);
    caps_.push_back(max_entry_vms > 0 ? region.cap.value() : 0);
  }
}

auto CapacityTable::AddSlots(const Document& document, const std::set<std::string>& drained_targets)
    -> void {
  for (const auto& service : document.services) {
    expected_seconds_.push_back(std::chrono::duration<double>(service.expected_time).count());
    auto& slots = slots_.emplace_back(document.regions.size(), 0);
    for (const auto& target : service.targets) {
      const auto it = region_of_zone_.find(target.zone);
      if (it == region_of_zone_.end() || drained_targets.contains(target.name.value())) continue;
      slots[it->second] += service.slots_per_target;
    }
  }
}

auto CapacityTable::ServiceCapacity(std::size_t service, std::size_t region) const -> double {
  return slots_[service][region] / expected_seconds_[service];
}

auto CapacityTable::TotalServiceCapacity(std::size_t service) const -> double {
  double total = 0;
  for (std::size_t r = 0; r < caps_.size(); ++r) total += ServiceCapacity(service, r);
  return total;
}

auto CapacityTable::RegionCapacity(std::size_t region) const -> double {
  double total = 0;
  for (std::size_t s = 0; s < slots_.size(); ++s) total += ServiceCapacity(s, region);
  return std::min(total, caps_[region]);
}

auto CapacityTable::TotalCapacity() const -> double {
  double total = 0;
  for (std::size_t r = 0; r < caps_.size(); ++r) total += RegionCapacity(r);
  return total;
}

}  // namespace heatherspan
