#include "gateway/region_split.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// Time constant of the reported use, seconds: several responses of each service at the smallest
/// nodes, and much shorter than a wave of traffic.
constexpr double kUseSeconds = 3;
/// Older reports say nothing.
constexpr Duration kUseMemory = std::chrono::seconds(5);
/// One overloaded target must not stand for its whole region.
constexpr double kMostUse = 3;
/// Beyond this, requests queue at most targets of the region; single busy ones have second choices.
constexpr double kHighUse = 1.2;
/// Below this, objects come back: bytes between regions cost more than room does.
constexpr double kLowUse = 0.3;
/// Largest change of the kept part for each second. The fall is under half of what operators allow
/// as a shift of traffic; each object that comes back meets a cold target once, so that the return
/// is slower.
constexpr double kFallPerSecond = 0.06;
constexpr double kReturnPerSecond = 0.005;
/// Least weight of one report, or a burst of them would count as one.
constexpr double kLeastWeight = 0.02;
/// Least weight of a region that is fully used.
constexpr double kLeastRoom = 0.1;
/// Seeds that make the draws for region and target independent of each other.
constexpr std::uint64_t kKeepSeed = 0x6b656570;
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
auto CapacityShare(const std::vector<RegionCapacity>& capacities, int own_slots) -> double {
  double total = 0;
  for (const auto& capacity : capacities) total += capacity.slots;
  const double mean = total / static_cast<double>(std::max<std::size_t>(1, capacities.size()));
  return mean == 0 ? 1 : std::min(1.0, own_slots / mean);
}

}  // namespace

auto RegionSplit::OnReport(const ServiceName& service, const RegionName& region,
                           const LoadReport& report, MonotonicTime now) -> void {
  if (report.slots <= 0) return;
  const double sample =
      std::min(kMostUse, static_cast<double>(report.running + report.waiting) / report.slots);
  auto& use = uses_[{service, region}];
  const double elapsed = std::max(0.0, Seconds(now - use.updated));
  // The more reports come, the less each counts.
  const double weight = use.updated == MonotonicTime{} ? 1 : 1 - std::exp(-elapsed / kUseSeconds);
  use.value += (sample - use.value) * std::max(weight, kLeastWeight);
  use.updated = now;
}

auto RegionSplit::Use(const ServiceName& service, const RegionName& region, MonotonicTime now) const
    -> std::optional<double> {
  const auto found = uses_.find({service, region});
  if (found == uses_.end() || now - found->second.updated > kUseMemory) return std::nullopt;
  return found->second.value;
}

auto RegionSplit::Adapt(const ServiceName& service, const std::vector<RegionCapacity>& capacities,
                        MonotonicTime now) -> double {
  const int own_slots = SlotsOf(capacities, own_);
  const auto [entry, is_new] = kept_.try_emplace(service);
  auto& kept = entry->second;
  if (is_new) {
    kept.part = CapacityShare(capacities, own_slots);
    kept.adapted = now;
    return kept.part;
  }
  const double elapsed = Seconds(now - std::exchange(kept.adapted, now));
  if (own_slots == 0) return kept.part;
  const auto use = Use(service, own_, now);
  const double share = CapacityShare(capacities, own_slots);
  if (use.has_value() && *use > kHighUse) {
    kept.part = std::max(0.0, kept.part - kFallPerSecond * elapsed);
  } else if (use.has_value() && *use < kLowUse && kept.part < share) {
    kept.part = std::min(share, kept.part + kReturnPerSecond * elapsed);
  }
  return kept.part;
}

auto RegionSplit::HomeOf(const ServiceName& service, ObjectHash object,
                         const std::vector<RegionCapacity>& capacities, MonotonicTime now)
    -> RegionName {
  const double kept = Adapt(service, capacities, now);
  const int own_slots = SlotsOf(capacities, own_);
  if (own_slots > 0 && Uniform(object, kKeepSeed) < kept) return own_;
  const RegionName* best = &own_;
  double best_score = 0;
  for (const auto& capacity : capacities) {
    if (capacity.region == own_) continue;
    const double room =
        capacity.slots * std::max(kLeastRoom, 1 - Use(service, capacity.region, now).value_or(0));
    const double score = RendezvousScore(CombineHash(object, kRemoteSeed),
                                         StableHash(capacity.region.value()), room);
    if (score > best_score) {
      best = &capacity.region;
      best_score = score;
    }
  }
  return *best;
}

auto RegionSplit::KeptPart(const ServiceName& service) const -> double {
  const auto found = kept_.find(service);
  return found == kept_.end() ? 1 : found->second.part;
}

}  // namespace heatherspan
