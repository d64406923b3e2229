#include "gateway/region_split.h"

#include <algorithm>
#include <cmath>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// Time constant of the demand, seconds: several requests of each service at the smallest nodes,
/// and much shorter than a wave of traffic.
constexpr double kDemandSeconds = 5;
/// Beyond this part of the slots in use, waits at single targets grow steeply (M/D/3).
constexpr double kHighUse = 0.6;
/// Below this, objects come back: bytes between regions cost more than room does.
constexpr double kLowUse = 0.35;
/// Before demand is known: a region keeps all objects unless its capacity is below this part of the
/// mean.
constexpr double kInitialRoom = 1.5;
/// Largest change of the kept part for each second. A tenth of the limit that operators set for
/// shifts of traffic, and each object that moves meets a cold target once.
constexpr double kChangePerSecond = 0.02;
/// Seeds that make the draws for region and target independent of each other.
constexpr std::uint64_t kKeepSeed = 0x6b656570;
constexpr std::uint64_t kRemoteSeed = 0x72656d6f;

auto Seconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

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

auto InitialPart(const std::vector<RegionCapacity>& capacities, int own_slots) -> double {
  double total = 0;
  for (const auto& capacity : capacities) total += capacity.slots;
  const double mean = total / static_cast<double>(std::max<std::size_t>(1, capacities.size()));
  return mean == 0 ? 1 : std::min(1.0, kInitialRoom * own_slots / mean);
}

}  // namespace

auto RegionSplit::OnRequest(const ServiceName& service, Duration work, MonotonicTime now) -> void {
  auto& demand = demands_[service];
  const double elapsed = std::max(0.0, Seconds(now - demand.updated));
  demand.busy_slots *= std::exp(-elapsed / kDemandSeconds);
  demand.busy_slots += Seconds(work) / kDemandSeconds;
  demand.updated = now;
}

auto RegionSplit::Adapt(Demand& demand, const std::vector<RegionCapacity>& capacities,
                        int entry_vms, MonotonicTime now) const -> void {
  const int own_slots = SlotsOf(capacities, own_);
  if (demand.kept < 0) {
    demand.kept = InitialPart(capacities, own_slots);
    demand.adapted = now;
    return;
  }
  const double most = kChangePerSecond * Seconds(now - demand.adapted);
  demand.adapted = now;
  if (own_slots == 0) return;
  const double use = demand.kept * demand.busy_slots * entry_vms / own_slots;
  if (use > kHighUse) demand.kept -= most;
  if (use < kLowUse) demand.kept += most;
  demand.kept = std::clamp(demand.kept, 0.0, 1.0);
}

auto RegionSplit::HomeOf(const ServiceName& service, ObjectHash object,
                         const std::vector<RegionCapacity>& capacities, int entry_vms,
                         MonotonicTime now) -> RegionName {
  auto& demand = demands_[service];
  Adapt(demand, capacities, entry_vms, now);
  const int own_slots = SlotsOf(capacities, own_);
  double remote_slots = 0;
  for (const auto& capacity : capacities) {
    if (capacity.region != own_) remote_slots += capacity.slots;
  }
  if (remote_slots == 0 || (own_slots > 0 && Uniform(object, kKeepSeed) < demand.kept)) return own_;
  double draw = Uniform(object, kRemoteSeed) * remote_slots;
  for (const auto& capacity : capacities) {
    if (capacity.region == own_) continue;
    draw -= capacity.slots;
    if (draw < 0) return capacity.region;
  }
  return own_;
}

auto RegionSplit::KeptPart(const ServiceName& service) const -> double {
  const auto found = demands_.find(service);
  return found == demands_.end() ? 1 : found->second.kept;
}

}  // namespace heatherspan
