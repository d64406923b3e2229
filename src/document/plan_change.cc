#include "document/plan_change.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "document/capacity_table.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr double kBitsPerMegabit = 1e6;
constexpr double kBitsPerByte = 8;
// Sums of products of decimal fractions have rounding errors in the last digits.
constexpr double kRateTolerance = 1e-6;

using Drains = CapacityTable::Drains;

auto ZonesOf(const Region& region) -> std::set<ZoneName> {
  std::set<ZoneName> zones;
  for (const auto& zone : region.zones) zones.insert(zone.name);
  return zones;
}

auto ScopeText(DrainScope scope) -> std::string_view {
  switch (scope) {
    case DrainScope::kTarget:
      return "target";
    case DrainScope::kEntryVm:
      return "entry VM";
    case DrainScope::kZone:
      return "zone";
    case DrainScope::kRegion:
      return "region";
  }
  return "";
}

class Planner {
 public:
  Planner(const Document& before, const Document& after, const PlannedLoad& load)
      : before_(before),
        after_(after),
        capacity_before_(before, Drains::kApplied),
        capacity_(after, Drains::kApplied),
        load_(LoadTable(after, load)) {}

  auto Run() -> Plan {
    FindNewDrains();
    PlanRegions();
    PlanServices();
    PlanLinks(std::nullopt);
    for (std::size_t r = 0; r < after_.regions.size(); ++r) PlanLinks(r);
    CheckServices();
    CheckTotal();
    CheckEntryVms();
    return std::move(plan_);
  }

 private:
  static auto LoadTable(const Document& document, const PlannedLoad& load) -> ServiceRegionTable {
    const CapacityTable nominal(document, Drains::kIgnored);
    ServiceRegionTable table;
    for (std::size_t s = 0; s < document.services.size(); ++s) {
      auto& row = table.emplace_back();
      for (std::size_t r = 0; r < document.regions.size(); ++r) {
        const auto known = load.find({document.services[s].name, document.regions[r].name});
        row.push_back(known != load.end() ? known->second.value() : AssumedLoad(nominal, s, r));
      }
    }
    return table;
  }

  /// The cap limits the sum over all services, so the assumed load of a service is in proportion to
  /// its part of the region's slot capacity.
  static auto AssumedLoad(const CapacityTable& nominal, std::size_t service, std::size_t region)
      -> double {
    double sum = 0;
    const auto service_capacity = nominal.ServiceCapacity(service, region);
    for (std::size_t s = 0; s < nominal.service_count(); ++s)
      sum += nominal.ServiceCapacity(s, region);
    return sum > 0 ? kAssumedUtilization * service_capacity * nominal.RegionCapacity(region) / sum
                   : 0;
  }

  auto RegionLoad(std::size_t region) const -> double {
    double sum = 0;
    for (const auto& row : load_) sum += row[region];
    return sum;
  }

  auto ServiceLoad(std::size_t service) const -> double {
    double sum = 0;
    for (const double load : load_[service]) sum += load;
    return sum;
  }

  auto TotalLoad() const -> double {
    double sum = 0;
    for (std::size_t r = 0; r < after_.regions.size(); ++r) sum += RegionLoad(r);
    return sum;
  }

  auto FindNewDrains() -> void {
    for (const auto& drain : after_.drains) {
      const bool known =
          std::any_of(before_.drains.begin(), before_.drains.end(), [&drain](const Drain& old) {
            return old.scope == drain.scope && old.name == drain.name;
          });
      if (known) continue;
      new_drains_ += fmt::format("{}drain of {} {} ({})", new_drains_.empty() ? "" : ", ",
                                 ScopeText(drain.scope), drain.name, drain.reason);
      AddDrainTimeNotes(drain);
    }
  }

  /// The shift cap limits how fast traffic may move out of a region.
  auto AddDrainTimeNotes(const Drain& drain) -> void {
    if (drain.scope != DrainScope::kRegion) return;
    for (const auto& service : after_.services) {
      const double intervals = std::ceil(100.0 / service.shift_percent);
      const double seconds =
          intervals * std::chrono::duration<double>(service.shift_interval).count();
      plan_.notes.push_back(
          fmt::format("region {}: the traffic of {} needs at least {:g} s to leave", drain.name,
                      service.name.value(), seconds));
    }
  }

  /// A shortage is an error, which forbids promotion, when the change adds a drain; otherwise a
  /// warning.
  auto AddShortage(const std::string& text) -> void {
    if (new_drains_.empty()) {
      plan_.warnings.push_back(text);
    } else {
      plan_.errors.push_back(fmt::format("{}: {}", new_drains_, text));
    }
  }

  /// Returns the measured capacity without the zone whose loss reduces it most.
  template <class Measure>
  auto WorstWithoutZone(const Region& region, Measure measure) const -> double {
    double worst = measure(capacity_);
    for (const auto& zone : region.zones) {
      worst = std::min(worst, measure(CapacityTable(after_, Drains::kApplied, {zone.name})));
    }
    return worst;
  }

  /// Returns the cap without the base share of one lost entry VM. Immediately after the loss, the
  /// other entry VMs can't use this base share; the leased share of the lost entry VM is granted to
  /// them.
  auto CapWithoutEntryVm(std::size_t region) const -> double {
    const int entry_vms = capacity_.MaxEntryVms(region);
    if (entry_vms <= 1) return 0;
    return capacity_.Cap(region) * (1 - after_.base_fraction / entry_vms);
  }

  auto PlanRegions() -> void {
    for (std::size_t r = 0; r < after_.regions.size(); ++r) {
      const auto& region = after_.regions[r];
      const double load = RegionLoad(r);
      const CapacityTable without(after_, Drains::kApplied, ZonesOf(region));
      RegionPlan plan;
      plan.region = region.name;
      plan.cap_before = RequestsPerSecond(CapBefore(region.name));
      plan.cap_after = RequestsPerSecond(capacity_.Cap(r));
      plan.load = RequestsPerSecond(load);
      plan.headroom = RequestsPerSecond(capacity_.RegionCapacity(r) - load);
      plan.headroom_without_entry_vm =
          RequestsPerSecond(std::min(capacity_.RegionCapacity(r), CapWithoutEntryVm(r)) - load);
      plan.headroom_without_zone = RequestsPerSecond(
          WorstWithoutZone(region,
                           [r](const CapacityTable& table) { return table.RegionCapacity(r); }) -
          load);
      plan.headroom_without_region = RequestsPerSecond(without.TotalCapacity() - TotalLoad());
      if (plan.headroom_without_region.value() < -kRateTolerance && after_.regions.size() > 1) {
        plan_.warnings.push_back(
            fmt::format("without region {}, the other regions serve {:.0f} of {:.0f} requests/s",
                        region.name.value(), without.TotalCapacity(), TotalLoad()));
      }
      plan_.regions.push_back(plan);
    }
  }

  auto CapBefore(const RegionName& name) const -> double {
    for (std::size_t r = 0; r < before_.regions.size(); ++r) {
      if (before_.regions[r].name == name) return capacity_before_.Cap(r);
    }
    return 0;
  }

  auto SlotsBefore(const ServiceName& service, const RegionName& region) const -> int {
    for (std::size_t s = 0; s < before_.services.size(); ++s) {
      if (before_.services[s].name != service) continue;
      for (std::size_t r = 0; r < before_.regions.size(); ++r) {
        if (before_.regions[r].name == region) return capacity_before_.Slots(s, r);
      }
    }
    return 0;
  }

  auto PlanServices() -> void {
    for (std::size_t s = 0; s < after_.services.size(); ++s) {
      for (std::size_t r = 0; r < after_.regions.size(); ++r) PlanService(s, r);
    }
  }

  auto PlanService(std::size_t s, std::size_t r) -> void {
    const auto& region = after_.regions[r];
    const auto measure = [s, r](const CapacityTable& table) { return table.ServiceCapacity(s, r); };
    const double load = load_[s][r];
    const CapacityTable without(after_, Drains::kApplied, ZonesOf(region));
    ServicePlan plan;
    plan.service = after_.services[s].name;
    plan.region = region.name;
    plan.slots_before = SlotsBefore(plan.service, plan.region);
    plan.slots_after = capacity_.Slots(s, r);
    plan.load = RequestsPerSecond(load);
    plan.headroom = RequestsPerSecond(capacity_.ServiceCapacity(s, r) - load);
    plan.headroom_without_zone = RequestsPerSecond(WorstWithoutZone(region, measure) - load);
    plan.headroom_without_region =
        RequestsPerSecond(without.TotalServiceCapacity(s) - ServiceLoad(s));
    if (plan.headroom_without_region.value() < -kRateTolerance && after_.regions.size() > 1) {
      plan_.warnings.push_back(
          fmt::format("without region {}, the targets of {} serve {:.0f} of {:.0f} requests/s",
                      region.name.value(), plan.service.value(), without.TotalServiceCapacity(s),
                      ServiceLoad(s)));
    }
    plan_.services.push_back(plan);
  }

  /// Plans the links with one region lost, or with no region lost. The load above the capacity of a
  /// region goes to the other regions in proportion to their free capacity.
  auto PlanLinks(std::optional<std::size_t> lost) -> void {
    const auto zones = lost.has_value() ? ZonesOf(after_.regions[*lost]) : std::set<ZoneName>();
    const CapacityTable capacity(after_, Drains::kApplied, zones);
    const std::size_t count = after_.regions.size();
    ServiceRegionTable used(count, std::vector<double>(count, 0));
    for (std::size_t s = 0; s < after_.services.size(); ++s) AddLinkTraffic(capacity, s, used);
    for (const auto& link : after_.links) {
      AddLinkPlan(lost, link, link.a, link.b, used);
      AddLinkPlan(lost, link, link.b, link.a, used);
    }
  }

  auto AddLinkTraffic(const CapacityTable& capacity, std::size_t s, ServiceRegionTable& used) const
      -> void {
    const std::size_t count = after_.regions.size();
    std::vector<double> shortfall(count);
    std::vector<double> spare(count);
    double total_shortfall = 0;
    double total_spare = 0;
    for (std::size_t r = 0; r < count; ++r) {
      const double left = capacity.ServiceCapacity(s, r) - load_[s][r];
      shortfall[r] = std::max(0.0, -left);
      spare[r] = std::max(0.0, left);
      total_shortfall += shortfall[r];
      total_spare += spare[r];
    }
    if (total_spare <= 0 || total_shortfall <= 0) return;
    const double served = std::min(1.0, total_spare / total_shortfall);
    const double megabits = static_cast<double>(after_.services[s].mean_response.value()) *
                            kBitsPerByte / kBitsPerMegabit;
    for (std::size_t to = 0; to < count; ++to) {
      for (std::size_t from = 0; from < count; ++from) {
        used[from][to] += shortfall[to] * served * spare[from] / total_spare * megabits;
      }
    }
  }

  auto AddLinkPlan(std::optional<std::size_t> lost, const Link& link, const RegionName& from,
                   const RegionName& to, const ServiceRegionTable& used) -> void {
    const double used_mbit_s = used[RegionIndex(from)][RegionIndex(to)];
    if (used_mbit_s <= 0) return;
    const double usable_mbit_s = link.capacity.value() * link.usable_fraction;
    const auto lost_name = lost.has_value() ? after_.regions[*lost].name : RegionName();
    plan_.links.push_back(
        {lost_name, from, to, MegabitsPerSecond(used_mbit_s), MegabitsPerSecond(usable_mbit_s)});
    if (used_mbit_s <= usable_mbit_s + kRateTolerance) return;
    const auto text = fmt::format("the link {} -> {} would carry {:.0f} of {:.0f} usable Mbit/s",
                                  from.value(), to.value(), used_mbit_s, usable_mbit_s);
    if (lost.has_value()) {
      plan_.warnings.push_back(fmt::format("without region {}, {}", lost_name.value(), text));
    } else {
      AddShortage(text);
    }
  }

  auto RegionIndex(const RegionName& name) const -> std::size_t {
    std::size_t index = 0;
    while (index + 1 < after_.regions.size() && after_.regions[index].name != name) ++index;
    return index;
  }

  auto CheckServices() -> void {
    for (std::size_t s = 0; s < after_.services.size(); ++s) {
      const double left = capacity_.TotalServiceCapacity(s);
      const double load = ServiceLoad(s);
      if (left + kRateTolerance >= load) continue;
      AddShortage(fmt::format("the targets of {} that are left serve {:.0f} of {:.0f} requests/s",
                              after_.services[s].name.value(), left, load));
    }
  }

  auto CheckTotal() -> void {
    if (capacity_.TotalCapacity() + kRateTolerance >= TotalLoad()) return;
    AddShortage(
        fmt::format("the regions that are left serve {:.0f} of {:.0f} requests/s within "
                    "their caps",
                    capacity_.TotalCapacity(), TotalLoad()));
  }

  /// The document does not assign drained entry VMs to zones, so their number is compared with the
  /// maximum number of entry VMs in the environment.
  auto CheckEntryVms() -> void {
    int drained = 0;
    for (const auto& drain : after_.drains) drained += drain.scope == DrainScope::kEntryVm ? 1 : 0;
    int left = -drained;
    for (std::size_t r = 0; r < after_.regions.size(); ++r) left += capacity_.MaxEntryVms(r);
    if (left > 0) return;
    AddShortage("no entry VM is left");
  }

  const Document& before_;
  const Document& after_;
  CapacityTable capacity_before_;
  CapacityTable capacity_;
  ServiceRegionTable load_;
  std::string new_drains_;
  Plan plan_;
};

}  // namespace

auto PlanChange(const Document& before, const Document& after, const PlannedLoad& load) -> Plan {
  return Planner(before, after, load).Run();
}

}  // namespace heatherspan
