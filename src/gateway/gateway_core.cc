#include "gateway/gateway_core.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// A registration is at most one heartbeat old, and half of one more for its way.
constexpr double kRecheckHeartbeats = 1.5;
/// Callers whose patience is below this part of the usual one have been refused before.
constexpr double kFullPatience = 0.97;
/// Without a stated patience a caller is taken to wait as long as the operators allow.
constexpr Duration kUnknownPatience = std::chrono::hours(1);
/// Below this the work of an attempt was not measured but cut short.
constexpr Duration kLeastWork = std::chrono::milliseconds(1);

auto ObjectOf(const Route& route, std::string_view object) -> ObjectHash {
  if (object.empty()) return 0;
  return std::max<ObjectHash>(1, StableHash(object, StableHash(route.name.value())));
}

auto Ratio(Duration a, Duration b) -> double {
  return static_cast<double>(a.count()) /
         static_cast<double>(std::max<Duration::rep>(1, b.count()));
}

/// Whether the work looks like that of a target that knew the object.
auto LooksWarm(Duration work, const WorkEstimate& estimate) -> bool {
  const double between =
      std::sqrt(Ratio(estimate.warm, Duration(1)) * Ratio(estimate.cold, Duration(1)));
  return static_cast<double>(work.count()) < between;
}

}  // namespace

GatewayCore::GatewayCore(Options options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      fleet_(options_.zones,
             Duration(static_cast<Duration::rep>(static_cast<double>(options_.heartbeat.count()) *
                                                 kRecheckHeartbeats))),
      split_(options_.place.region),
      placer_(options_.place, fleet_, estimates_, split_),
      balance_(options_.balance),
      roster_(options_.roster) {}

auto GatewayCore::ApplyPolicy(TrafficPolicy policy) -> bool {
  if (policy_ != nullptr && policy.version <= policy_->version) return false;
  policy_ = std::make_unique<const TrafficPolicy>(std::move(policy));
  routes_ = RouteTable(policy_->routes);
  splits_.Retain(policy_->routes);
  services_.clear();
  for (const auto& service : policy_->services) services_[service.name] = &service;
  return true;
}

auto GatewayCore::OnStoreSeen(std::uint64_t revision, MonotonicTime now) -> void {
  store_revision_ = revision;
  store_seen_ = now;
}

auto GatewayCore::SetBounds(RetryWindow::Limits retries, RegionBalance::Limits balance) -> void {
  options_.retries = retries;
  for (auto& [service, window] : retries_) window.SetLimits(retries);
  balance_.SetLimits(balance);
}

auto GatewayCore::ServiceOf(const ServiceName& name) const -> const ServicePolicy* {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

auto GatewayCore::Retries(const ServiceName& service) -> RetryWindow& {
  return retries_.try_emplace(service, options_.retries).first->second;
}

auto GatewayCore::ColdFeeders(const ServiceName& service) const -> int {
  const auto* policy = ServiceOf(service);
  if (policy == nullptr) return 1;
  return std::max(1, static_cast<int>(policy->cold_requests_per_second));
}

auto GatewayCore::Admit(const RequestId& id, const Route& route, std::string_view object,
                        std::optional<Duration> patience, MonotonicTime now) -> CarriedRequest {
  CarriedRequest::Facts facts;
  facts.id = id;
  facts.route = route;
  facts.service = splits_.Pick(route);
  facts.object = ObjectOf(route, object);
  facts.arrived = now;
  facts.caller_patience = patience.value_or(kUnknownPatience);
  if (patience.has_value()) {
    auto& usual = patience_[route.name];
    usual = std::max(usual, *patience);
    facts.returning = Ratio(*patience, usual) < kFullPatience;
  }
  Retries(facts.service).OnRequest(now);
  fleet_.OnTraffic();
  return CarriedRequest(std::move(facts));
}

auto GatewayCore::Place(const CarriedRequest& request, MonotonicTime now) -> PlacementResult {
  const auto& facts = request.facts();
  PlacementQuery query;
  query.route = &facts.route;
  query.service = facts.service;
  query.object = facts.object;
  query.time_left = request.give_up_at() - now;
  query.objective_left = request.ObjectiveLeft(now);
  query.returning = facts.returning;
  query.tried = &request.tried();
  query.may_leave_region = balance_.MayLeave(now);
  const int feeders = ColdFeeders(facts.service);
  const auto vms = roster_.Live(now);
  query.home = split_.HomeOf(facts.service, facts.object, placer_.Capacities(query), now);
  const auto feeds_cold = [&](const FleetTarget& target) {
    return IsColdFeeder(vms, options_.node, target.entry().name, target.entry().zone, feeders);
  };
  return placer_.Choose(query, feeds_cold, now, random_);
}

auto GatewayCore::BeginAttempt(CarriedRequest& request, const Placement& placement,
                               MonotonicTime now) -> Attempt {
  auto& target = *placement.target;
  Attempt attempt{++last_attempt_, target.entry().name, placement};
  target.Begin(attempt.number, placement.wait + placement.longest_work, placement.work,
               request.facts().object, now);
  balance_.OnSent(target.region() != options_.place.region, now);
  request.OnSent(attempt.target);
  return attempt;
}

auto GatewayCore::EndAttempt(CarriedRequest& request, const Attempt& attempt, AttemptEnd end,
                             const std::optional<LoadReport>& load, MonotonicTime now)
    -> RequestStep {
  if (auto* target = fleet_.Find(attempt.target)) {
    const auto took = target->End(attempt.number, request.facts().object, SignOf(end), now);
    if (end == AttemptEnd::kAnswered) Learn(request, attempt, *target, took, now);
    if (load.has_value()) {
      target->load().OnReport(*load, now);
      split_.OnReport(request.facts().service, target->region(), *load, now);
    } else if (end == AttemptEnd::kRefused) {
      target->load().OnFull(now);
    }
  }
  return request.OnEnd(end, now, [&] {
    return Retries(request.facts().service).TryRetry(roster_.LikelyCount(now), now);
  });
}

auto GatewayCore::AbandonAttempt(const CarriedRequest& request, const Attempt& attempt,
                                 MonotonicTime now) -> void {
  if (auto* target = fleet_.Find(attempt.target)) {
    target->End(attempt.number, request.facts().object, std::nullopt, now);
  }
}

auto GatewayCore::Learn(const CarriedRequest& request, const Attempt& attempt, FleetTarget& target,
                        Duration took, MonotonicTime now) -> void {
  const auto work = took - attempt.expected.network;
  // A wait or a cold start would pass for work.
  if (work < kLeastWork || attempt.expected.wait > Duration::zero() || target.IsCold(now)) return;
  const auto& facts = request.facts();
  const auto estimate = estimates_.Estimate(facts.route, facts.service);
  const bool warm = !facts.route.session_affinity || LooksWarm(work, estimate);
  target.LearnSpeed(Ratio(work, warm ? estimate.warm : estimate.cold));
  estimates_.Learn(facts.route, facts.service, warm, work);
}

}  // namespace heatherspan
