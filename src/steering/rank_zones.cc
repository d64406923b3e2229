#include "steering/rank_zones.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <tuple>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

constexpr Duration kConnectTime = std::chrono::milliseconds(1);
/// Treats an unknown load as neither idle nor full.
constexpr double kUnknownUtilization = 0.6;
constexpr double kSaturated = 1.0;
constexpr double kMaxUtilization = 2.0;
/// The utilization is rounded down to halves. Reports are up to one second old. If all receiving
/// entry VMs followed small differences, they would all send to the same zone until the next
/// report.
constexpr double kUtilizationSteps = 2;

/// A choice with its sort keys.
struct Ranked {
  enum class Group { kLocal, kUsable, kCapUsedUp, kFailing, kDrained };

  Group group = Group::kUsable;
  std::uint64_t tie_breaker = 0;
  ZoneChoice choice;

  auto Order() const -> std::tuple<Group, double, std::uint64_t> {
    return {group, choice.score, tie_breaker};
  }
};

auto Latency(const SteeringView& view, std::size_t local_zone, std::size_t zone) -> double {
  if (local_zone == zone) return 0;
  const auto round_trip = 2 * view.OneWayDelay(local_zone, zone) + kConnectTime;
  const auto longest = 2 * view.LongestOneWayDelay() + kConnectTime;
  return static_cast<double>(round_trip.count()) / static_cast<double>(longest.count());
}

auto Utilization(const ZoneLoad& load) -> double {
  const double reported = std::min(load.utilization.value_or(kUnknownUtilization), kMaxUtilization);
  const double effective = load.refusing ? std::max(reported, kSaturated) : reported;
  return std::floor(effective * kUtilizationSteps) / kUtilizationSteps;
}

auto GroupOf(const ZoneLoad& load, bool is_local, bool drained) -> Ranked::Group {
  using Group = Ranked::Group;
  if (drained) return Group::kDrained;
  if (load.failing) return Group::kFailing;
  if (load.cap_used_up) return Group::kCapUsedUp;
  return is_local && !load.refusing ? Group::kLocal : Group::kUsable;
}

/// Whether the zone has targets, its region has live nodes and a link to the local region, and no
/// drain excludes the zone.
auto IsCandidate(const SteeringView& view, const SteeringService& service, std::size_t local_zone,
                 std::size_t zone) -> bool {
  const auto from = view.zones()[local_zone].region;
  const auto to = view.zones()[zone].region;
  if (service.targets[zone].empty() || view.regions()[to].live_nodes == 0) return false;
  if (!view.regions()[from].linked[to]) return false;
  return !view.zones()[zone].drained || from == to;
}

}  // namespace

auto RankZones(const SteeringView& view, const ZoneLoadTracker& loads, const ServiceName& service,
               const ZoneName& local_zone, MonotonicTime now, std::uint64_t tie_breaker)
    -> std::vector<ZoneChoice> {
  const auto* table = view.FindService(service.value());
  const auto local_index = view.FindZone(local_zone);
  if (table == nullptr || !local_index.has_value()) return {};
  const auto& objectives = view.document().objectives;
  std::vector<Ranked> ranked;
  ranked.reserve(view.zones().size());
  for (std::size_t i = 0; i < view.zones().size(); ++i) {
    if (!IsCandidate(view, *table, *local_index, i)) continue;
    const auto& zone = view.zones()[i];
    const auto load = loads.Load(zone.name, service, now);
    if (load.no_usable_target) continue;
    const double utilization = Utilization(load);
    const double score = objectives.latency_weight * Latency(view, *local_index, i) +
                         objectives.headroom_weight * utilization;
    const auto zone_tie_breaker =
        CombineHash(CombineHash(tie_breaker, view.zones()[*local_index].hash), zone.hash);
    ranked.push_back({GroupOf(load, i == *local_index, zone.drained),
                      zone_tie_breaker,
                      {zone.name, view.regions()[zone.region].name, i, score, zone.drained}});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& a, const Ranked& b) { return a.Order() < b.Order(); });
  std::vector<ZoneChoice> choices;
  choices.reserve(ranked.size());
  for (auto& item : ranked) choices.push_back(std::move(item.choice));
  return choices;
}

}  // namespace heatherspan
