#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "gateway/apartness.h"
#include "gateway/cached_objects.h"
#include "gateway/fleet.h"
#include "gateway/primary_region_selector.h"
#include "gateway/processing_time_estimates.h"
#include "gateway/route.h"

namespace heatherspan {

/// The location of an entry VM and its network round trips to targets.
struct NodeLocation {
  ZoneName zone;
  RegionName region;
  /// Network round trips: the largest values that the users' deployments state.
  Duration zone_round_trip = std::chrono::milliseconds(2);
  Duration region_round_trip = std::chrono::milliseconds(70);
};

/// A request for a placement.
struct PlacementQuery {
  const Route* route = nullptr;
  ServiceName service;
  ObjectHash object = 0;
  Duration time_left{};       ///< Until the request's deadline.
  Duration objective_left{};  ///< Until the request is late; negative if it is late.
  bool resubmitted = false;   ///< The request has been refused before.
  /// Time between two requests of this node to the same cold target; see
  /// GatewayCore::ColdTargetSenderCount.
  Duration cold_interval = std::chrono::seconds(1);
  const std::vector<TargetName>* attempted_targets = nullptr;
  bool may_spill = true;
  Apartness apartness = Apartness::kNone;
  /// What the targets are ranked by in place of the object, if the request has to be apart from
  /// others of its object, also from those of other nodes.
  std::optional<ObjectHash> own_rank;
  RegionName primary_region;  ///< The region of the object's primary target.
};

/// A target and the predicted times of an attempt there.
struct Placement {
  FleetTarget* target = nullptr;
  Duration queue_wait{};           ///< Until the target starts the request.
  Duration processing_time{};      ///< Expected value, weighted by the probability of a cache hit.
  Duration max_processing_time{};  ///< On a cache miss.
  Duration round_trip{};
  double slowdown = 1;  ///< The part of the target's slowness that it has reported itself.

  auto completion_time() const -> Duration { return queue_wait + processing_time + round_trip; }
  auto max_completion_time() const -> Duration {
    return queue_wait + max_processing_time + round_trip;
  }
};

/// Why no target was chosen.
enum class PlacementFailure {
  kNoTarget,
  kTooLate,
  kLimited,        ///< The usable targets have named limits, of which this node has used its share.
  kPaused,         ///< The usable targets have asked this node for a pause.
  kNoRetryBudget,  ///< The request has arrived at a target before, and no retry is left.
};

struct PlacementResult {
  std::optional<Placement> placement;
  PlacementFailure failure = PlacementFailure::kNoTarget;  ///< Valid if there is no placement.
  std::optional<Placement> late_placement;  ///< The best placement, if it would complete too late.
  Duration retry_after{};                   ///< Until capacity is likely to be available.
};

/// Returns whether this node is one of the nodes that send requests to the target while it is cold.
template <class T>
concept ColdTargetSenderRule = requires(const T& rule, const FleetTarget& target) {
  { rule(target) } -> std::same_as<bool>;
};

/// Chooses targets by predicted completion time. Load pattern: objects are requested repeatedly, a
/// target that has handled an object before is several times faster, and traffic comes in waves. An
/// object's requests therefore go to the target that has the object cached until the queue wait
/// there costs more than the processing time elsewhere. All entry VMs of a region derive the same
/// primary and secondary target by rendezvous hashing, so that after a spillover or the loss of a
/// target the replacement has the object cached.
class Placer {
 public:
  Placer(NodeLocation location, const Fleet& fleet, const ProcessingTimeEstimates& estimates,
         const PrimaryRegionSelector& primary_regions)
      : location_(std::move(location)),
        fleet_(fleet),
        estimates_(estimates),
        primary_regions_(primary_regions) {}

  /// Returns the slots of the service's usable targets by region, sorted by region name.
  auto Capacities(const PlacementQuery& query) const -> std::vector<RegionCapacity>;

  template <ColdTargetSenderRule Rule>
  auto Choose(const PlacementQuery& query, const Rule& sends_to_cold, MonotonicTime now,
              Random& random) const -> PlacementResult {
    std::vector<FleetTarget*> candidates;
    std::vector<FleetTarget*> unused_targets;
    std::optional<Duration> limit_wait;
    std::optional<Duration> pause_wait;
    for (auto* target : fleet_.TargetsOf(query.service)) {
      if (!IsCandidate(*target, query, now)) continue;
      if (const auto wait = target->pause().Wait(now); wait > Duration::zero()) {
        pause_wait = std::min(pause_wait.value_or(wait), wait);
        continue;
      }
      const bool is_unused = target->joined_under_traffic() && !target->used();
      const bool sends = (target->IsCold(now) || is_unused) && sends_to_cold(*target);
      if (target->IsCold(now) && (!sends || !target->MaySendWhileCold(query.cold_interval, now))) {
        continue;
      }
      if (const auto wait = target->limit().Wait(now); wait > Duration::zero()) {
        limit_wait = std::min(limit_wait.value_or(wait), wait);
        continue;
      }
      candidates.push_back(target);
      if (is_unused && sends) unused_targets.push_back(target);
    }
    if (candidates.empty() && limit_wait.has_value()) return Limited(*limit_wait, query, random);
    if (candidates.empty() && pause_wait.has_value()) return Paused(*pause_wait, query, random);
    return ChooseAmong(candidates, unused_targets, query, now, random);
  }

  auto location() const -> const NodeLocation& { return location_; }

 private:
  struct Ranked;
  /// The role of a target for an object.
  enum class Role { kPrimary, kSecondary, kOther };

  auto IsAllowed(const FleetTarget& target, const PlacementQuery& query) const -> bool;
  auto IsCandidate(const FleetTarget& target, const PlacementQuery& query, MonotonicTime now) const
      -> bool;
  /// `unused_targets`: the candidates that this node has to send a first request to although they
  /// are primary for no requested object.
  auto ChooseAmong(const std::vector<FleetTarget*>& candidates,
                   const std::vector<FleetTarget*>& unused_targets, const PlacementQuery& query,
                   MonotonicTime now, Random& random) const -> PlacementResult;
  /// `wait`: until this node may send to a limited target again.
  static auto Limited(Duration wait, const PlacementQuery& query, Random& random)
      -> PlacementResult;
  /// `wait`: until the first target that has asked for a pause takes requests again.
  static auto Paused(Duration wait, const PlacementQuery& query, Random& random) -> PlacementResult;
  auto Predict(FleetTarget& target, const PlacementQuery& query, Role role, MonotonicTime now) const
      -> Ranked;
  auto FindUnusedTarget(const std::vector<FleetTarget*>& candidates, MonotonicTime now) const
      -> FleetTarget*;
  /// Returns how far the utilization of a region's targets exceeds the threshold: 0 if not at all,
  /// 1 if by at least kUtilizationRange.
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
