#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "gateway/fleet.h"
#include "gateway/object_memory.h"
#include "gateway/region_split.h"
#include "gateway/route.h"
#include "gateway/work_estimates.h"

namespace heatherspan {

/// Where an entry VM stands, and what the distance to others costs.
struct NodePlace {
  ZoneName zone;
  RegionName region;
  /// Round trips; the largest that the users' deployments state.
  Duration zone_round_trip = std::chrono::milliseconds(2);
  Duration region_round_trip = std::chrono::milliseconds(70);
};

/// A request that is to be placed.
struct PlacementQuery {
  const Route* route = nullptr;
  ServiceName service;
  ObjectHash object = 0;
  Duration time_left{};       ///< Until the request is given up.
  Duration objective_left{};  ///< Until it is late; negative if it is.
  bool returning = false;     ///< Its caller has been refused before.
  /// Share of cold targets that this node feeds; see ColdFeeders.
  Duration cold_spacing = std::chrono::seconds(1);
  const std::vector<TargetName>* tried = nullptr;
  bool may_leave_region = true;
  RegionName home;  ///< Where the object's home target is.
};

/// A target and what is expected of it.
struct Placement {
  FleetTarget* target = nullptr;
  Duration wait{};          ///< Until it begins to work.
  Duration work{};          ///< Expected; between that of a warm and of a cold target.
  Duration longest_work{};  ///< If it does not know the object.
  Duration network{};

  auto completion() const -> Duration { return wait + work + network; }
  auto longest() const -> Duration { return wait + longest_work + network; }
};

/// Why no target was chosen.
enum class NoPlacement { kNoTarget, kNoRoom };

struct PlacementResult {
  std::optional<Placement> placement;
  NoPlacement cause = NoPlacement::kNoTarget;  ///< Without a placement.
  std::optional<Placement> best;               ///< The one that would have been too late.
  Duration retry_after{};                      ///< Until there may be room.
};

/// Tells whether this node is one of those that send requests to a target while it is cold.
template <class T>
concept ColdFeederRule = requires(const T& rule, const FleetTarget& target) {
  { rule(target) } -> std::same_as<bool>;
};

/// Chooses targets by predicted completion. Load pattern: objects are asked for again and again, a
/// target that has handled one before is several times faster, and requests come in waves. So an
/// object's requests go to the target that knows it until the wait there costs more than the work
/// elsewhere. All entry VMs of a region find the same home target, and the same second choice, by
/// rendezvous hashing, so that a spill or a lost target finds a replacement that is warm.
class Placer {
 public:
  Placer(NodePlace place, const Fleet& fleet, const WorkEstimates& estimates,
         const RegionSplit& split)
      : place_(std::move(place)), fleet_(fleet), estimates_(estimates), split_(split) {}

  /// The slots of the service's usable targets by region, in the order of the regions' names.
  auto Capacities(const PlacementQuery& query) const -> std::vector<RegionCapacity>;

  template <ColdFeederRule Rule>
  auto Choose(const PlacementQuery& query, const Rule& feeds_cold, MonotonicTime now,
              Random& random) const -> PlacementResult {
    std::vector<FleetTarget*> candidates;
    std::vector<FleetTarget*> fed;
    for (auto* target : fleet_.TargetsOf(query.service)) {
      if (!IsCandidate(*target, query, now)) continue;
      const bool untried = target->joined() && !target->used();
      const bool feeds = (target->IsCold(now) || untried) && feeds_cold(*target);
      if (target->IsCold(now) && (!feeds || !target->ColdTurn(query.cold_spacing, now))) continue;
      candidates.push_back(target);
      if (untried && feeds) fed.push_back(target);
    }
    return ChooseAmong(candidates, fed, query, now, random);
  }

  auto place() const -> const NodePlace& { return place_; }

 private:
  struct Ranked;
  /// What a target is to an object.
  enum class Role { kHome, kSecond, kAway };

  auto IsAllowed(const FleetTarget& target, const PlacementQuery& query) const -> bool;
  auto IsCandidate(const FleetTarget& target, const PlacementQuery& query, MonotonicTime now) const
      -> bool;
  /// `fed`: the candidates that this node is to try although no object has its home there.
  auto ChooseAmong(const std::vector<FleetTarget*>& candidates,
                   const std::vector<FleetTarget*>& fed, const PlacementQuery& query,
                   MonotonicTime now, Random& random) const -> PlacementResult;
  auto Predict(FleetTarget& target, const PlacementQuery& query, Role role, MonotonicTime now) const
      -> Ranked;
  auto Neglected(const std::vector<FleetTarget*>& candidates, MonotonicTime now) const
      -> FleetTarget*;
  /// How far the use of a region's targets is above `from`: 0 not at all, 1 by kCrowdedBand.
  auto Crowding(const ServiceName& service, const RegionName& region, double from,
                MonotonicTime now) const -> double;
  static auto WarmOdds(Role role, ObjectMemory::Knowledge knowledge) -> double;
  auto Network(const FleetTarget& target) const -> Duration;

  NodePlace place_;
  const Fleet& fleet_;
  const WorkEstimates& estimates_;
  const RegionSplit& split_;
};

}  // namespace heatherspan
