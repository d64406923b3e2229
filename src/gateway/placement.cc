#include "gateway/placement.h"

#include <algorithm>
#include <limits>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

/// Chance that a target knows an object. A target knows it as soon as it begins the first request
/// for it. That for the home target is fixed, not learned: it holds because all entry VMs act on
/// it, and one that doubted it after a cold start would keep a copy of its own elsewhere.
constexpr double kWarmKnown = 0.95;
constexpr double kWarmHome = 0.9;
constexpr double kWarmSecond = 0.2;
constexpr double kWarmAway = 0.02;
/// Work at a cold target against that at a warm one, at most, as far as the deployments state.
constexpr double kColdFactor = 2;
/// Bytes between zones and regions are paid for, and links bear little: a target further away must
/// be better by these shares of the objective.
constexpr double kZoneCost = 0.05;
/// A target that has to learn an object is busy longer and forgets another one, which others pay
/// for: the extra work counts once more.
constexpr double kMissCost = 1.0;
/// Where all targets are busy, that extra work makes the more requests late the busier they are.
constexpr double kCrowdedMissCost = 1;
/// Use of the slots from which cold copies cost more: every other target has no free slot.
constexpr double kMissFrom = 0.6;
/// Use from which late waits get shorter: a queue at nearly all targets, which won't pass soon.
constexpr double kLateFrom = 2;
/// Use above these at which they have their full effect.
constexpr double kCrowdedBand = 0.6;
/// Requests come back to an object's home target, or each entry VM would keep a target of its own
/// warm after a spill.
constexpr double kSecondCost = 0.1;
constexpr double kAwayCost = 0.25;
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
/// A target that has joined and is home to no object that is asked for gets a request after this
/// time from the VMs that feed it, so that it is found sound or not before it is needed.
constexpr Duration kNeglectTime = milliseconds(1500);
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

/// The best and second-best targets of a region for an object.
class TopTwo {
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

auto Placer::Network(const FleetTarget& target) const -> Duration {
  return target.region() == place_.region ? place_.zone_round_trip : place_.region_round_trip;
}

auto Placer::IsAllowed(const FleetTarget& target, const PlacementQuery& query) const -> bool {
  const auto& allowed = query.route->allowed_regions;
  return fleet_.MayUse(target) && (allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                                                target.region()) != allowed.end());
}

auto Placer::IsCandidate(const FleetTarget& target, const PlacementQuery& query,
                         MonotonicTime now) const -> bool {
  if (!IsAllowed(target, query) || target.health().IsBlocked(now)) return false;
  if (target.health().OnProbation() && target.load().own() > 0) return false;
  const auto* tried = query.tried;
  return tried == nullptr ||
         std::find(tried->begin(), tried->end(), target.entry().name) == tried->end();
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

auto Placer::Crowding(const ServiceName& service, const RegionName& region, double from,
                      MonotonicTime now) const -> double {
  const double use = split_.Use(service, region, now).value_or(0);
  return std::clamp((use - from) / kCrowdedBand, 0.0, 1.0);
}

auto Placer::WarmOdds(Role role, ObjectMemory::Knowledge knowledge) -> double {
  if (knowledge != ObjectMemory::Knowledge::kUnknown) return kWarmKnown;
  switch (role) {
    case Role::kHome:
      return kWarmHome;
    case Role::kSecond:
      return kWarmSecond;
    case Role::kAway:
      return kWarmAway;
  }
  return kWarmAway;
}

auto Placer::Predict(FleetTarget& target, const PlacementQuery& query, Role role,
                     MonotonicTime now) const -> Ranked {
  const auto estimate = estimates_.Estimate(*query.route, query.service);
  const auto knowledge = target.objects().Find(query.object);
  const double warm = query.route->session_affinity ? WarmOdds(role, knowledge) : 1;
  auto work = Scale(estimate.warm, warm) + Scale(estimate.cold, 1 - warm);
  work = Scale(work, target.Slowness(now));
  if (target.IsCold(now)) work = Scale(work, kColdFactor);
  Ranked ranked;
  ranked.placement = {.target = &target,
                      .wait = target.load().Wait(now),
                      .work = work,
                      .longest_work = std::max(work, Scale(estimate.cold, target.Slowness(now))),
                      .network = Network(target)};
  const auto objective = query.route->objective;
  const bool once = query.route->repeat == RepeatRule::kAtMostOnce;
  const double failure_cost =
      target.health().FailureRate(now) * (once ? kFailureCostOnce : kFailureCostIdempotent);
  ranked.cost = ranked.placement.completion() + Scale(objective, failure_cost);
  if (query.route->session_affinity) {
    const double crowding =
        1 + kCrowdedMissCost * Crowding(query.service, target.region(), kMissFrom, now);
    ranked.cost += Scale(estimate.cold - estimate.warm, (1 - warm) * kMissCost * crowding);
    if (role == Role::kSecond) ranked.cost += Scale(objective, kSecondCost);
    if (role == Role::kAway) ranked.cost += Scale(objective, kAwayCost);
  }
  if (target.region() != place_.region && target.region() != query.home) {
    ranked.cost += Scale(objective, kRegionCost);
  } else if (target.entry().zone != place_.zone) {
    ranked.cost += Scale(objective, kZoneCost);
  }
  return ranked;
}

auto Placer::Neglected(const std::vector<FleetTarget*>& candidates, MonotonicTime now) const
    -> FleetTarget* {
  for (auto* target : candidates) {
    if (now - target->known_since() >= kNeglectTime) {
      return target;
    }
  }
  return nullptr;
}

auto Placer::ChooseAmong(const std::vector<FleetTarget*>& candidates,
                         const std::vector<FleetTarget*>& fed, const PlacementQuery& query,
                         MonotonicTime now, Random& random) const -> PlacementResult {
  PlacementResult result;
  std::vector<std::pair<RegionName, TopTwo>> tops;
  const auto top_of = [&](const RegionName& region) -> TopTwo& {
    for (auto& [name, top] : tops) {
      if (name == region) return top;
    }
    return tops.emplace_back(region, TopTwo()).second;
  };
  for (const auto* target : candidates) {
    top_of(target->region())
        .Add(RendezvousScore(query.object, target->hash(), target->entry().slots), target);
  }
  std::optional<Ranked> best;
  for (auto* target : candidates) {
    const bool stays = target->region() == place_.region || target->region() == query.home;
    if (!stays && !query.may_leave_region) continue;
    const auto& top = top_of(target->region());
    const bool at_home = target->region() == query.home;
    // The second choice out of the home region stands beside the one in it.
    auto role = Role::kAway;
    if (target == top.first()) role = at_home ? Role::kHome : Role::kSecond;
    if (target == top.second() && at_home) role = Role::kSecond;
    const auto ranked = Predict(*target, query, role, now);
    if (!best.has_value() || ranked.cost < best->cost) best = ranked;
  }
  if (!best.has_value()) {
    result.retry_after = RetryAfter(kShortestRetryAfter, query.time_left, random);
    return result;
  }
  if (query.tried == nullptr || query.tried->empty()) {
    if (auto* neglected = Neglected(fed, now)) {
      const auto ranked = Predict(*neglected, query, Role::kAway, now);
      if (ranked.placement.completion() <= Scale(query.time_left, kUsableTime)) best = ranked;
    }
  }
  const auto& placement = best->placement;
  // In a crowd, a request that waits although it will be late makes those behind it late.
  const double room = 1 - Crowding(query.service, placement.target->region(), kLateFrom, now);
  const auto late_wait =
      Scale(query.route->objective, room * (query.returning ? kReturningWait : kLateWait));
  const bool in_time = placement.completion() <= query.objective_left;
  const bool may_wait = in_time || placement.wait <= late_wait;
  if (may_wait && placement.completion() <= Scale(query.time_left, kUsableTime)) {
    result.placement = placement;
    return result;
  }
  result.cause = NoPlacement::kNoRoom;
  result.best = placement;
  result.retry_after = RetryAfter(placement.wait - late_wait, query.time_left, random);
  return result;
}

}  // namespace heatherspan
