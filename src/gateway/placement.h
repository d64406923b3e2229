#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "gateway/cached_objects.h"
#include "gateway/fleet.h"
#include "gateway/primary_region_selector.h"
#include "gateway/processing_time_estimates.h"
#include "gateway/route.h"

namespace heatherspan {

/// Where an entry VM stands, and what the distance to others costs.
struct NodeLocation {
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
  bool resubmitted = false;   ///< Its caller has been refused before.
  /// Share of cold targets that this node feeds; see ColdFeeders.
  Duration cold_interval = std::chrono::seconds(1);
  const std::vector<TargetName>* attempted_targets = nullptr;
  bool may_spill = true;
  RegionName primary_region;  ///< Where the object's home target is.
};

/// A target and what is expected of it.
struct Placement {
  FleetTarget* target = nullptr;
  Duration queue_wait{};           ///< Until it begins to work.
  Duration processing_time{};      ///< Expected; between that of a warm and of a cold target.
  Duration max_processing_time{};  ///< If it does not know the object.
  Duration round_trip{};

  auto completion_time() const -> Duration { return queue_wait + processing_time + round_trip; }
  auto max_completion_time() const -> Duration {
    return queue_wait + max_processing_time + round_trip;
  }
};

/// Why no target was chosen.
enum class PlacementFailure { kNoTarget, kTooLate };

struct PlacementResult {
  std::optional<Placement> placement;
  PlacementFailure failure = PlacementFailure::kNoTarget;  ///< Without a placement.
  std::optional<Placement> late_placement;  ///< The one that would have been too late.
  Duration retry_after{};                   ///< Until there may be room.
};

/// Tells whether this node is one of those that send requests to a target while it is cold.
template <class T>
concept ColdTargetSenderRule = requires(const T& rule, const FleetTarget& target) {
  { rule(target) } -> std::same_as<bool>;
};

/// Chooses targets by predicted completion. Load pattern: objects are asked for again and again, a
/// target that has handled one before is several times faster, and requests come in waves. So an
/// object's requests go to the target that knows it until the wait there costs more than the work
/// elsewhere. All entry VMs of a region find the same home target, and the same second choice, by
/// rendezvous hashing, so that a spill or a lost target finds a replacement that is warm.
class Placer {
 public:
  Placer(NodeLocation location, const Fleet& fleet, const ProcessingTimeEstimates& estimates,
         const PrimaryRegionSelector& primary_regions)
      : location_(std::move(location)),
        fleet_(fleet),
        estimates_(estimates),
        primary_regions_(primary_regions) {}

  /// The slots of the service's usable targets by region, in the order of the regions' names.
  auto Capacities(const PlacementQuery& query) const -> std::vector<RegionCapacity>;

  template <ColdTargetSenderRule Rule>
  auto Choose(const PlacementQuery& query, const Rule& sends_to_cold, MonotonicTime now,
              Random& random) const -> PlacementResult {
    std::vector<FleetTarget*> candidates;
    std::vector<FleetTarget*> unused_targets;
    for (auto* target : fleet_.TargetsOf(query.service)) {
      if (!IsCandidate(*target, query, now)) continue;
      const bool is_unused = target->joined_under_traffic() && !target->used();
      const bool sends = (target->IsCold(now) || is_unused) && sends_to_cold(*target);
      if (target->IsCold(now) && (!sends || !target->MaySendWhileCold(query.cold_interval, now))) {
        continue;
      }
      candidates.push_back(target);
      if (is_unused && sends) unused_targets.push_back(target);
    }
    return ChooseAmong(candidates, unused_targets, query, now, random);
  }

  auto location() const -> const NodeLocation& { return location_; }

 private:
  struct Ranked;
  /// What a target is to an object.
  enum class Role { kPrimary, kSecondary, kOther };

  auto IsAllowed(const FleetTarget& target, const PlacementQuery& query) const -> bool;
  auto IsCandidate(const FleetTarget& target, const PlacementQuery& query, MonotonicTime now) const
      -> bool;
  /// `fed`: the candidates that this node is to try although no object has its home there.
  auto ChooseAmong(const std::vector<FleetTarget*>& candidates,
                   const std::vector<FleetTarget*>& unused_targets, const PlacementQuery& query,
                   MonotonicTime now, Random& random) const -> PlacementResult;
  auto Predict(FleetTarget& target, const PlacementQuery& query, Role role, MonotonicTime now) const
      -> Ranked;
  auto FindUnusedTarget(const std::vector<FleetTarget*>& candidates, MonotonicTime now) const
      -> FleetTarget*;
  /// How far the use of a region's targets is above `from`: 0 not at all, 1 by kCrowdedBand.
  auto ExcessUtilization(const ServiceName& service, const RegionName& region, double threshold,
                         MonotonicTime now) const -> double;
  static auto CacheHitProbability(Role role, CachedObjects::State state) -> double;
  auto RoundTrip(const FleetTarget& target) const -> Duration;

  NodeLocation location_;
  const Fleet& fleet_;
  const ProcessingTimeEstimates& estimates_;
  const PrimaryRegionSelector& primary_regions_;
};

}  // namespace heatherspan
