#include "gateway/primary_region_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// Time constant of the reported use, seconds: several responses of each service at the smallest
/// nodes, and much shorter than a wave of traffic.
constexpr double kUtilizationTimeConstantSeconds = 3;
/// Older reports say nothing.
constexpr Duration kMaxUtilizationAge = std::chrono::seconds(5);
/// One overloaded target must not stand for its whole region.
constexpr double kMaxUtilization = 3;
/// Beyond this, requests queue at most targets of the region; single busy ones have second choices.
constexpr double kHighUtilization = 1.2;
/// Below this, objects come back: bytes between regions cost more than room does.
constexpr double kLowUtilization = 0.3;
/// Largest change of the kept part for each second. The fall is under half of what operators allow
/// as a shift of traffic; each object that comes back meets a cold target once, so that the return
/// is slower.
constexpr double kDecreasePerSecond = 0.06;
constexpr double kIncreasePerSecond = 0.005;
/// Least weight of one report, or a burst of them would count as one.
constexpr double kMinReportWeight = 0.02;
/// Least weight of a region that is fully used.
constexpr double kMinFreeFraction = 0.1;
/// Seeds that make the draws for region and target independent of each other.
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

/// The most that a region keeps: callers are taken to be alike in all regions, so that it is as
/// much as the capacity is of the mean.
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
  // The more reports come, the less each counts.
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
