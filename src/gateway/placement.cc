#include "gateway/placement.h"

#include <algorithm>
#include <limits>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

/// Chance that a target knows an object that this node has not sent it: other nodes of the zone or
/// region hash alike, so that the first choices probably do.
constexpr double kWarmSent = 0.7;
constexpr double kWarmFirstOfZone = 0.5;
constexpr double kWarmSecondOfZone = 0.2;
constexpr double kWarmFirstOfRegion = 0.3;
/// Work at a cold target against that at a warm one, at most, as far as the deployments state.
constexpr double kColdFactor = 2;
/// Bytes between zones and regions are paid for, and links bear little: a target further away must
/// be better by these shares of the objective.
constexpr double kZoneCost = 0.05;
constexpr double kRegionCost = 0.3;
/// A failure costs the caller of a request that can't be repeated all it hoped for, twice over.
constexpr double kFailureCostOnce = 2;
constexpr double kFailureCostIdempotent = 1;
/// How long a request may wait although it will be late, as a share of the objective. Longer queues
/// only make those behind it late as well.
constexpr double kLateWait = 0.5;
/// Refused callers that come back have paid already; they may wait this much longer.
constexpr double kReturningWait = 1.5;
/// Part of the time left that a prediction may use, since predictions err.
constexpr double kUsableTime = 0.85;
/// A target that has had nothing for so long after its registration gets the next request that
/// bears it, so that it warms up and its part of the load can be seen.
constexpr Duration kNeglectTime = milliseconds(1200);
constexpr Duration kShortestRetryAfter = milliseconds(100);
/// Spread of Retry-After, so that refused callers don't come back together.
constexpr double kRetrySpread = 0.5;
/// Callers wait at most this part of the time that they have left.
constexpr double kRetryPart = 1.0 / 3;

auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

auto RetryAfter(Duration until_room, Duration time_left, Random& random) -> Duration {
  const auto least = std::max(until_room, kShortestRetryAfter);
  const double spread = 1 + std::uniform_real_distribution<double>(0, kRetrySpread)(random);
  return std::min(Scale(least, spread), std::max(Scale(time_left, kRetryPart), Duration::zero()));
}

auto HashOf(const FleetTarget& target) -> std::uint64_t {
  return StableHash(target.entry().name.value());
}

}  // namespace

struct Placer::Ranked {
  Placement placement;
  Duration cost{};
};

auto Placer::Network(const FleetTarget& target) const -> Duration {
  return target.region() == place_.region ? place_.zone_round_trip : place_.region_round_trip;
}

auto Placer::IsCandidate(const FleetTarget& target, const PlacementQuery& query,
                         MonotonicTime now) const -> bool {
  if (!fleet_.MayUse(target) || target.health().IsBlocked(now)) return false;
  if (target.health().OnProbation() && target.load().own() > 0) return false;
  const auto& allowed = query.route->allowed_regions;
  if (!allowed.empty() &&
      std::find(allowed.begin(), allowed.end(), target.region()) == allowed.end()) {
    return false;
  }
  const auto* tried = query.tried;
  return tried == nullptr ||
         std::find(tried->begin(), tried->end(), target.entry().name) == tried->end();
}

auto Placer::Predict(FleetTarget& target, const PlacementQuery& query, double warm_guess,
                     MonotonicTime now) const -> Ranked {
  const auto estimate = estimates_.Estimate(*query.route, query.service);
  const auto knowledge = target.objects().Find(query.object);
  double warm = query.route->session_affinity ? warm_guess : 1;
  if (knowledge == ObjectMemory::Knowledge::kHandled) warm = 1;
  if (knowledge == ObjectMemory::Knowledge::kSent) warm = std::max(warm, kWarmSent);
  auto work = Scale(estimate.warm, warm) + Scale(estimate.cold, 1 - warm);
  work = Scale(work, target.Slowness(now));
  if (target.IsCold(now)) work = Scale(work, kColdFactor);
  Ranked ranked;
  ranked.placement = {.target = &target,
                      .warm = knowledge == ObjectMemory::Knowledge::kHandled,
                      .wait = target.load().Wait(now),
                      .work = work,
                      .network = Network(target)};
  const auto objective = query.route->objective;
  const bool once = query.route->repeat == RepeatRule::kAtMostOnce;
  const double failure_cost = target.health().FailureRate(now) *
                              (once ? kFailureCostOnce : kFailureCostIdempotent);
  ranked.cost = ranked.placement.completion() + Scale(objective, failure_cost);
  if (target.region() != place_.region) {
    ranked.cost += Scale(objective, kRegionCost);
  } else if (target.entry().zone != place_.zone) {
    ranked.cost += Scale(objective, kZoneCost);
  }
  return ranked;
}

auto Placer::Neglected(const std::vector<FleetTarget*>& candidates, MonotonicTime now) const
    -> FleetTarget* {
  for (auto* target : candidates) {
    if (!target->used() && target->region() == place_.region &&
        now - target->known_since() >= kNeglectTime) {
      return target;
    }
  }
  return nullptr;
}

auto Placer::ChooseAmong(std::vector<FleetTarget*> candidates, const PlacementQuery& query,
                         MonotonicTime now, Random& random) const -> PlacementResult {
  PlacementResult result;
  if (candidates.empty()) {
    result.retry_after = RetryAfter(kShortestRetryAfter, query.time_left, random);
    return result;
  }
  const auto score = [&](const FleetTarget* target) {
    return RendezvousScore(query.object, HashOf(*target));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const auto* a, const auto* b) { return score(a) > score(b); });
  int zone_rank = 0;
  int region_rank = 0;
  std::optional<Ranked> best;
  for (auto* target : candidates) {
    const bool in_zone = target->entry().zone == place_.zone;
    const bool in_region = target->region() == place_.region;
    if (in_region ? query.must_leave_region : !query.may_leave_region) continue;
    double guess = 0;
    if (in_zone) {
      guess = zone_rank == 0 ? kWarmFirstOfZone : zone_rank == 1 ? kWarmSecondOfZone : 0;
      ++zone_rank;
    } else {
      guess = region_rank == 0 ? kWarmFirstOfRegion : 0;
      ++region_rank;
    }
    const auto ranked = Predict(*target, query, guess, now);
    if (!best.has_value() || ranked.cost < best->cost) best = ranked;
  }
  if (!best.has_value()) {
    result.retry_after = RetryAfter(kShortestRetryAfter, query.time_left, random);
    return result;
  }
  if (query.tried == nullptr || query.tried->empty()) {
    if (auto* neglected = Neglected(candidates, now)) {
      const auto ranked = Predict(*neglected, query, 0, now);
      if (ranked.placement.completion() <= Scale(query.time_left, kUsableTime)) best = ranked;
    }
  }
  const auto& placement = best->placement;
  const auto late_wait = Scale(query.route->objective, query.returning ? kReturningWait : kLateWait);
  const bool in_time = placement.completion() <= query.objective_left;
  const bool may_wait = in_time || placement.wait <= late_wait;
  if (may_wait && placement.completion() <= Scale(query.time_left, kUsableTime)) {
    result.placement = placement;
    return result;
  }
  result.cause = NoPlacement::kNoRoom;
  result.retry_after = RetryAfter(placement.wait - late_wait, query.time_left, random);
  return result;
}

}  // namespace heatherspan
