#include "gateway/primary_region_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// Time constant of the reported utilization. It covers several responses of each service at the
/// smallest nodes and is much shorter than a wave of traffic.
constexpr double kUtilizationTimeConstantSeconds = 3;
/// Older reports are ignored.
constexpr Duration kMaxUtilizationAge = std::chrono::seconds(5);
/// Bounds a sample, so that one overloaded target doesn't represent its whole region.
constexpr double kMaxUtilization = 3;
/// Above this, requests queue at most targets of the region. A single busy target is relieved by
/// its secondary target.
constexpr double kHighUtilization = 1.2;
/// Below this, every other target has a free slot and objects return to the region: traffic between
/// regions costs more than free capacity saves.
constexpr double kLowUtilization = 0.6;
/// Largest change of the local fraction per second. The decrease is less than half of the traffic
/// shift that operators allow. The increase is slower because each returning object causes a cache
/// miss.
constexpr double kDecreasePerSecond = 0.06;
constexpr double kIncreasePerSecond = 0.03;
/// Minimum weight of one report. Without it a burst of reports would count as one.
constexpr double kMinReportWeight = 0.02;
/// Minimum weight of a fully used region.
constexpr double kMinFreeFraction = 0.1;
/// Seeds that make the choices of region and target independent of each other.
constexpr std::uint64_t kLocalSeed = 0x6b656570;
constexpr std::uint64_t kRemoteSeed = 0x72656d6f;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto Uniform(ObjectHash object, std::uint64_t seed) -> double {
  constexpr double kSteps = 9007199254740992.0;  // 2^53
  return static_cast<double>(CombineHash(object, seed) >> 11) / kSteps;
}

auto SlotsOf(const std::vector<RegionCapacity>& capacities, const RegionName& region) -> int {
  for (const auto& capacity : capacities) {
    if (capacity.region == region) return capacity.slots;
  }
  return 0;
}

/// Returns the largest fraction of its objects that a region keeps: its capacity divided by the
/// mean capacity. Callers are assumed to be evenly distributed over the regions.
auto MaxLocalFraction(const std::vector<RegionCapacity>& capacities, int own_slots) -> double {
  double total = 0;
  for (const auto& capacity : capacities) total += capacity.slots;
  const double mean = total / static_cast<double>(std::max<std::size_t>(1, capacities.size()));
  return mean == 0 ? 1 : std::min(1.0, own_slots / mean);
}

}  // namespace

auto PrimaryRegionSelector::OnReport(const ServiceName& service, const RegionName& region,
                                     const LoadReport& report, MonotonicTime now) -> void {
  if (report.slots <= 0) return;
  const double sample = std::min(
      kMaxUtilization, static_cast<double>(report.running + report.waiting) / report.slots);
  auto& utilization = utilizations_[{service, region}];
  const double elapsed = std::max(0.0, Seconds(now - utilization.updated));
  // The more frequent the reports, the smaller the weight of each.
  const double weight = utilization.updated == MonotonicTime{}
                            ? 1
                            : 1 - std::exp(-elapsed / kUtilizationTimeConstantSeconds);
  utilization.value += (sample - utilization.value) * std::max(weight, kMinReportWeight);
  utilization.updated = now;
}

auto PrimaryRegionSelector::Utilization(const ServiceName& service, const RegionName& region,
                                        MonotonicTime now) const -> std::optional<double> {
  const auto found = utilizations_.find({service, region});
  if (found == utilizations_.end() || now - found->second.updated > kMaxUtilizationAge) {
    return std::nullopt;
  }
  return found->second.value;
}

auto PrimaryRegionSelector::UpdateLocalFraction(const ServiceName& service,
                                                const std::vector<RegionCapacity>& capacities,
                                                MonotonicTime now) -> double {
  const int own_slots = SlotsOf(capacities, own_region_);
  const auto [entry, is_new] = local_portions_.try_emplace(service);
  auto& local = entry->second;
  if (is_new) {
    local.fraction = MaxLocalFraction(capacities, own_slots);
    local.updated = now;
    return local.fraction;
  }
  const double elapsed = Seconds(now - std::exchange(local.updated, now));
  if (own_slots == 0) return local.fraction;
  const auto utilization = Utilization(service, own_region_, now);
  const double max_fraction = MaxLocalFraction(capacities, own_slots);
  if (utilization.has_value() && *utilization > kHighUtilization) {
    local.fraction = std::max(0.0, local.fraction - kDecreasePerSecond * elapsed);
  } else if (utilization.has_value() && *utilization < kLowUtilization &&
             local.fraction < max_fraction) {
    local.fraction = std::min(max_fraction, local.fraction + kIncreasePerSecond * elapsed);
  }
  return local.fraction;
}

auto PrimaryRegionSelector::PrimaryRegionOf(const ServiceName& service, ObjectHash object,
                                            const std::vector<RegionCapacity>& capacities,
                                            MonotonicTime now) -> RegionName {
  const double local = UpdateLocalFraction(service, capacities, now);
  const int own_slots = SlotsOf(capacities, own_region_);
  if (own_slots > 0 && Uniform(object, kLocalSeed) < local) return own_region_;
  const RegionName* best = &own_region_;
  double best_score = 0;
  for (const auto& capacity : capacities) {
    if (capacity.region == own_region_) continue;
    const double free_slots =
        capacity.slots *
        std::max(kMinFreeFraction, 1 - Utilization(service, capacity.region, now).value_or(0));
    const double score = RendezvousScore(CombineHash(object, kRemoteSeed),
                                         StableHash(capacity.region.value()), free_slots);
    if (score > best_score) {
      best = &capacity.region;
      best_score = score;
    }
  }
  return *best;
}

auto PrimaryRegionSelector::LocalFraction(const ServiceName& service) const -> double {
  const auto found = local_portions_.find(service);
  return found == local_portions_.end() ? 1 : found->second.fraction;
}

}  // namespace heatherspan
