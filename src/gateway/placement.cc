#include "gateway/placement.h"

#include <algorithm>
#include <limits>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

/// Probability that a target has an object cached. A target caches an object as soon as it begins
/// the first request for it. The value for the primary target is fixed, not learned: it holds
/// because all entry VMs rely on it. An entry VM that lowered it after a cold start would keep a
/// copy of the object at another target.
constexpr double kCachedSent = 0.95;
constexpr double kCachedPrimary = 0.9;
constexpr double kCachedSecondary = 0.2;
constexpr double kCachedOther = 0.02;
/// Processing time at a cold target divided by that at a warm one: the upper bound that the
/// deployments state.
constexpr double kColdFactor = 2;
/// Traffic between zones and between regions is billed, and the links have little bandwidth. A more
/// distant target must be better by this fraction of the objective.
constexpr double kZoneCost = 0.05;
/// On a cache miss the target is busy longer and evicts another object, which delays other
/// requests. The additional processing time therefore counts once more.
constexpr double kMissCost = 1.0;
/// When all targets are busy, the additional processing time makes more requests late, the more so
/// the higher the utilization.
constexpr double kUtilizedMissCost = 1;
/// Utilization above which a cache miss costs more: every other target has no free slot.
constexpr double kMissCostMinUtilization = 0.6;
/// Utilization above which the allowed wait of late requests gets shorter: nearly all targets have
/// a queue, which does not clear soon.
constexpr double kLateWaitMinUtilization = 2;
/// Range above either threshold over which its effect grows to the maximum.
constexpr double kUtilizationRange = 0.6;
/// These costs return requests to the object's primary target. Without them each entry VM would
/// keep the object cached at a different target after a spillover.
constexpr double kSecondaryCost = 0.1;
constexpr double kOtherTargetCost = 0.25;
constexpr double kRegionCost = 0.3;
/// Cost of a failure as a multiple of the objective. A request that can't be retried counts twice,
/// because the failure costs its caller the whole result.
constexpr double kFailureCostAtMostOnce = 2;
constexpr double kFailureCostIdempotent = 1;
/// How long a late request may wait, as a fraction of the objective. A longer queue only makes the
/// requests behind it late as well.
constexpr double kLateWaitPart = 0.5;
/// Resubmitted requests have already paid for a refusal and may wait this much longer.
constexpr double kResubmittedWaitPart = 1.5;
/// Fraction of the remaining time that a prediction may use, because predictions are inexact.
constexpr double kUsableTimePart = 0.85;
/// A joined target that is primary for no requested object gets a request from its assigned entry
/// VMs after this time, so that its health is known before the target is needed.
constexpr Duration kUnusedTargetDelay = milliseconds(1500);
constexpr Duration kMinRetryAfter = milliseconds(100);
/// Another entry VM may have a share left of a limit of which this node has used its own.
constexpr Duration kMaxLimitRetryAfter = milliseconds(1000);
/// Random spread of Retry-After, so that refused callers don't return all at once.
constexpr double kRetryAfterJitter = 0.5;
/// Largest Retry-After as a fraction of the caller's remaining time.
constexpr double kRetryAfterMaxPart = 1.0 / 3;

auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

auto RetryAfter(Duration until_capacity, Duration time_left, Random& random) -> Duration {
  const auto min_delay = std::max(until_capacity, kMinRetryAfter);
  const double jitter = 1 + std::uniform_real_distribution<double>(0, kRetryAfterJitter)(random);
  return std::min(Scale(min_delay, jitter),
                  std::max(Scale(time_left, kRetryAfterMaxPart), Duration::zero()));
}

/// The highest-ranked and second-ranked target of a region for an object.
class BestTwo {
 public:
  auto Add(double score, const FleetTarget* target) -> void {
    if (first_ == nullptr || score > first_score_) {
      second_ = first_;
      second_score_ = first_score_;
      first_ = target;
      first_score_ = score;
    } else if (second_ == nullptr || score > second_score_) {
      second_ = target;
      second_score_ = score;
    }
  }
  auto first() const -> const FleetTarget* { return first_; }
  auto second() const -> const FleetTarget* { return second_; }

 private:
  const FleetTarget* first_ = nullptr;
  const FleetTarget* second_ = nullptr;
  double first_score_ = 0;
  double second_score_ = 0;
};

}  // namespace

struct Placer::Ranked {
  Placement placement;
  Duration cost{};
};

auto Placer::RoundTrip(const FleetTarget& target) const -> Duration {
  return target.region() == location_.region ? location_.zone_round_trip
                                             : location_.region_round_trip;
}

auto Placer::IsAllowed(const FleetTarget& target, const PlacementQuery& query) const -> bool {
  const auto& allowed = query.route->allowed_regions;
  return fleet_.MayUse(target) && (allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                                                target.region()) != allowed.end());
}

auto Placer::IsCandidate(const FleetTarget& target, const PlacementQuery& query,
                         MonotonicTime now) const -> bool {
  if (!IsAllowed(target, query) || target.health().IsBlocked(now)) return false;
  if (target.reserved() == Apartness::kRequired) return false;
  switch (query.apartness) {
    case Apartness::kNone:
      break;
    case Apartness::kPreferred:
      if (target.reserved() != Apartness::kNone) return false;
      break;
    case Apartness::kRequired:
      if (target.load().in_flight() > 0) return false;
      break;
  }
  const bool takes_one = target.health().OnProbation() || target.pause().is_returning();
  if (takes_one && target.load().in_flight() > 0) return false;
  const auto* attempted_targets = query.attempted_targets;
  return attempted_targets == nullptr ||
         std::find(attempted_targets->begin(), attempted_targets->end(), target.entry().name) ==
             attempted_targets->end();
}

auto Placer::Capacities(const PlacementQuery& query) const -> std::vector<RegionCapacity> {
  std::vector<RegionCapacity> capacities;
  for (const auto* target : fleet_.TargetsOf(query.service)) {
    if (!IsAllowed(*target, query)) continue;
    const auto position =
        std::lower_bound(capacities.begin(), capacities.end(), target->region(),
                         [](const RegionCapacity& capacity, const RegionName& name) {
                           return capacity.region < name;
                         });
    if (position != capacities.end() && position->region == target->region()) {
      position->slots += target->entry().slots;
    } else {
      capacities.insert(position, {target->region(), target->entry().slots});
    }
  }
  return capacities;
}

auto Placer::ExcessUtilization(const ServiceName& service, const RegionName& region,
                               double threshold, MonotonicTime now) const -> double {
  const double utilization = primary_regions_.Utilization(service, region, now).value_or(0);
  return std::clamp((utilization - threshold) / kUtilizationRange, 0.0, 1.0);
}

auto Placer::CacheHitProbability(Role role, CachedObjects::State state) -> double {
  if (state != CachedObjects::State::kUnknown) return kCachedSent;
  switch (role) {
    case Role::kPrimary:
      return kCachedPrimary;
    case Role::kSecondary:
      return kCachedSecondary;
    case Role::kOther:
      return kCachedOther;
  }
  return kCachedOther;
}

auto Placer::Predict(FleetTarget& target, const PlacementQuery& query, Role role,
                     MonotonicTime now) const -> Ranked {
  const auto estimate = estimates_.Estimate(*query.route, query.service);
  const auto state = target.cached_objects().Find(query.object);
  double hit_probability = query.route->session_affinity ? CacheHitProbability(role, state) : 1;
  // Ranked by the request itself, a target is not likely to have the object.
  if (query.own_rank.has_value()) hit_probability = std::min(hit_probability, kCachedOther);
  auto processing_time =
      Scale(estimate.cached, hit_probability) + Scale(estimate.uncached, 1 - hit_probability);
  const auto queue_wait = target.QueueWait(now);
  const double slowness = target.Slowness(now, now + queue_wait);
  processing_time = Scale(processing_time, slowness);
  if (target.IsCold(now)) processing_time = Scale(processing_time, kColdFactor);
  Ranked ranked;
  ranked.placement = {
      .target = &target,
      .queue_wait = queue_wait,
      .processing_time = processing_time,
      .max_processing_time = std::max(processing_time, Scale(estimate.uncached, slowness)),
      .round_trip = RoundTrip(target),
      .slowdown = target.reported_slowdown().At(now + queue_wait)};
  const auto objective = query.route->objective;
  const bool at_most_once = query.route->retry_rule == RetryRule::kAtMostOnce;
  const double failure_cost = target.health().FailureRate(now) *
                              (at_most_once ? kFailureCostAtMostOnce : kFailureCostIdempotent);
  ranked.cost = ranked.placement.completion_time() + Scale(objective, failure_cost);
  if (query.route->session_affinity) {
    const double miss_factor =
        1 + kUtilizedMissCost *
                ExcessUtilization(query.service, target.region(), kMissCostMinUtilization, now);
    ranked.cost +=
        Scale(estimate.uncached - estimate.cached, (1 - hit_probability) * kMissCost * miss_factor);
    if (role == Role::kSecondary) ranked.cost += Scale(objective, kSecondaryCost);
    if (role == Role::kOther) ranked.cost += Scale(objective, kOtherTargetCost);
  }
  if (target.region() != location_.region && target.region() != query.primary_region) {
    ranked.cost += Scale(objective, kRegionCost);
  } else if (target.entry().zone != location_.zone) {
    ranked.cost += Scale(objective, kZoneCost);
  }
  return ranked;
}

auto Placer::FindUnusedTarget(const std::vector<FleetTarget*>& candidates, MonotonicTime now) const
    -> FleetTarget* {
  for (auto* target : candidates) {
    if (now - target->known_since() >= kUnusedTargetDelay) {
      return target;
    }
  }
  return nullptr;
}

auto Placer::Limited(Duration wait, const PlacementQuery& query, Random& random)
    -> PlacementResult {
  PlacementResult result;
  result.failure = PlacementFailure::kLimited;
  result.retry_after = RetryAfter(std::min(wait, kMaxLimitRetryAfter), query.time_left, random);
  return result;
}

auto Placer::Paused(Duration wait, const PlacementQuery& query, Random& random) -> PlacementResult {
  PlacementResult result;
  result.failure = PlacementFailure::kPaused;
  result.retry_after = RetryAfter(wait, query.time_left, random);
  return result;
}

auto Placer::ChooseAmong(const std::vector<FleetTarget*>& candidates,
                         const std::vector<FleetTarget*>& unused_targets,
                         const PlacementQuery& query, MonotonicTime now, Random& random) const
    -> PlacementResult {
  PlacementResult result;
  std::vector<std::pair<RegionName, BestTwo>> best_by_region;
  const auto best_of = [&](const RegionName& region) -> BestTwo& {
    for (auto& [name, best_two] : best_by_region) {
      if (name == region) return best_two;
    }
    return best_by_region.emplace_back(region, BestTwo()).second;
  };
  for (const auto* target : candidates) {
    best_of(target->region())
        .Add(RendezvousScore(query.own_rank.value_or(query.object), target->hash(),
                             target->entry().slots),
             target);
  }
  std::optional<Ranked> best;
  for (auto* target : candidates) {
    const bool is_preferred_region =
        target->region() == location_.region || target->region() == query.primary_region;
    if (!is_preferred_region && !query.may_spill) continue;
    const auto& best_two = best_of(target->region());
    const bool in_primary_region = target->region() == query.primary_region;
    // Outside the primary region, the region's first target ranks like the second one inside it.
    auto role = Role::kOther;
    if (target == best_two.first()) role = in_primary_region ? Role::kPrimary : Role::kSecondary;
    if (target == best_two.second() && in_primary_region) role = Role::kSecondary;
    const auto ranked = Predict(*target, query, role, now);
    if (!best.has_value() || ranked.cost < best->cost) best = ranked;
  }
  if (!best.has_value()) {
    result.retry_after = RetryAfter(kMinRetryAfter, query.time_left, random);
    return result;
  }
  if (query.attempted_targets == nullptr || query.attempted_targets->empty()) {
    if (auto* unused = FindUnusedTarget(unused_targets, now)) {
      const auto ranked = Predict(*unused, query, Role::kOther, now);
      if (ranked.placement.completion_time() <= Scale(query.time_left, kUsableTimePart)) {
        best = ranked;
      }
    }
  }
  const auto& placement = best->placement;
  // At high utilization, a late request that waits makes the requests behind it late.
  const double wait_scale = 1 - ExcessUtilization(query.service, placement.target->region(),
                                                  kLateWaitMinUtilization, now);
  const auto late_wait =
      Scale(query.route->objective,
            wait_scale * (query.resubmitted ? kResubmittedWaitPart : kLateWaitPart));
  const bool in_time = placement.completion_time() <= query.objective_left;
  const bool may_wait = in_time || placement.queue_wait <= late_wait;
  if (may_wait && placement.completion_time() <= Scale(query.time_left, kUsableTimePart)) {
    result.placement = placement;
    return result;
  }
  result.failure = PlacementFailure::kTooLate;
  result.late_placement = placement;
  result.retry_after = RetryAfter(placement.queue_wait - late_wait, query.time_left, random);
  return result;
}

}  // namespace heatherspan
