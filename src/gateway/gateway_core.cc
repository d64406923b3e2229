#include "gateway/gateway_core.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/stable_hash.h"
#include "gateway/target_limit_share.h"

namespace heatherspan {
namespace {

/// A registration is at most one heartbeat old. Half a heartbeat more allows for its propagation.
constexpr double kColdAfterEvacuationHeartbeats = 1.5;
/// A caller timeout below this fraction of the route's longest one marks a resubmission.
constexpr double kMinFirstSubmissionTimeoutRatio = 0.97;
/// A caller that states no timeout is assumed to wait as long as the route timeout allows.
constexpr Duration kDefaultCallerTimeout = std::chrono::hours(1);
/// An attempt with a shorter processing time ended early and is no measurement.
constexpr Duration kMinProcessingTime = std::chrono::milliseconds(1);
/// Keeps the logarithm of a ratio finite.
constexpr double kMinRatio = 0.001;
/// Another entry VM may have a retry left.
constexpr Duration kRetryAfterWithoutBudget = std::chrono::milliseconds(50);

auto ObjectOf(const Route& route, std::string_view object) -> ObjectHash {
  if (object.empty()) return 0;
  return std::max<ObjectHash>(1, StableHash(object, StableHash(route.name.value())));
}

auto Ratio(Duration a, Duration b) -> double {
  return static_cast<double>(a.count()) /
         static_cast<double>(std::max<Duration::rep>(1, b.count()));
}

/// Returns whether the processing time is typical for a target that has the object cached.
auto LooksCached(Duration processing_time, const ProcessingTimeEstimate& estimate) -> bool {
  const double threshold =
      std::sqrt(Ratio(estimate.cached, Duration(1)) * Ratio(estimate.uncached, Duration(1)));
  return static_cast<double>(processing_time.count()) < threshold;
}

/// A run as it would have been at the target's usual speed.
struct NormalizedRun {
  double slowdown = 1;  ///< The slowdown that is taken out.
  Duration processing_time{};
  bool cached = false;
  double ratio = 1;  ///< Of the processing time to the estimate.
};

auto UsualRun(Duration processing_time, double slowdown, const ProcessingTimeEstimate& estimate,
              bool session_affinity) -> NormalizedRun {
  NormalizedRun run;
  run.slowdown = slowdown;
  run.processing_time = Duration(static_cast<Duration::rep>(
      std::round(static_cast<double>(processing_time.count()) / slowdown)));
  run.cached = !session_affinity || LooksCached(run.processing_time, estimate);
  run.ratio = std::max(
      kMinRatio, Ratio(run.processing_time, run.cached ? estimate.cached : estimate.uncached));
  return run;
}

}  // namespace

GatewayCore::GatewayCore(Options options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      fleet_(options_.zones,
             Duration(static_cast<Duration::rep>(static_cast<double>(options_.heartbeat.count()) *
                                                 kColdAfterEvacuationHeartbeats))),
      primary_regions_(options_.location.region),
      placer_(options_.location, fleet_, estimates_, primary_regions_),
      spillover_(options_.spillover),
      standing_(options_.node),
      entry_vms_(options_.entry_vms, seed) {}

auto GatewayCore::ApplyPolicy(TrafficPolicy policy) -> bool {
  if (policy_ != nullptr && policy.version <= policy_->version) return false;
  policy_ = std::make_unique<const TrafficPolicy>(std::move(policy));
  routes_ = RouteTable(policy_->routes);
  service_selector_.Retain(policy_->routes);
  services_.clear();
  for (const auto& service : policy_->services) services_[service.name] = &service;
  return true;
}

auto GatewayCore::OnStoreSeen(std::uint64_t revision, MonotonicTime at) -> void {
  store_revision_ = revision;
  store_seen_at_ = at;
}

auto GatewayCore::SetLimits(ServiceRetryBudget::Limits retries, SpilloverLimiter::Limits spillover)
    -> void {
  options_.retries = retries;
  for (auto& [service, budget] : retry_budgets_) budget.SetLimits(retries);
  spillover_.SetLimits(spillover);
}

auto GatewayCore::ServiceOf(const ServiceName& name) const -> const ServicePolicy* {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

auto GatewayCore::RetryBudgetOf(const ServiceName& service) -> ServiceRetryBudget& {
  return retry_budgets_.try_emplace(service, options_.retries).first->second;
}

auto GatewayCore::ColdTargetSenderCount(const ServiceName& service) const -> int {
  const auto* policy = ServiceOf(service);
  if (policy == nullptr) return 1;
  return std::max(1, static_cast<int>(policy->cold_requests_per_second));
}

auto GatewayCore::AcquireRetry(const ServiceName& service, MonotonicTime now) -> bool {
  auto& budget = RetryBudgetOf(service);
  // Before its start, this node may have used its part of the allowance.
  const bool may_have_used_allowance = !started_.has_value() || now - *started_ < budget.window();
  const bool knows_vms = standing_.kind() != VmStanding::Kind::kLearning;
  return budget.TryAcquire(knows_vms && !may_have_used_allowance
                               ? std::optional(entry_vms_.RecentMaxCount(now))
                               : std::nullopt,
                           now);
}

auto GatewayCore::Admit(const RequestId& id, const Route& route, std::string_view object,
                        std::optional<Duration> caller_timeout, MonotonicTime now, Duration unread)
    -> ForwardedRequest {
  auto request = MakeRequest(id, route, object, caller_timeout, now, unread);
  RetryBudgetOf(request.attributes().service).OnRequest(now);
  return request;
}

auto GatewayCore::AdmitPassedOn(const RequestId& id, const Route& route, std::string_view object,
                                std::optional<Duration> caller_timeout, const RelayTerms& terms,
                                MonotonicTime now, Duration unread) -> ForwardedRequest {
  auto request = MakeRequest(id, route, object, caller_timeout, now, unread);
  request.Restrict(terms.retry_rule);
  request.OnEarlierAttempts(terms.verdict, terms.arrivals);
  return request;
}

auto GatewayCore::OnPassedOn(ForwardedRequest& request) -> void {
  if (request.TakeRetryPermit()) RetryBudgetOf(request.attributes().service).Return();
}

auto GatewayCore::MakeRequest(const RequestId& id, const Route& route, std::string_view object,
                              std::optional<Duration> caller_timeout, MonotonicTime now,
                              Duration unread) -> ForwardedRequest {
  ForwardedRequest::Attributes attributes;
  attributes.id = id;
  attributes.route = route;
  if (policy_ != nullptr) attributes.config = policy_->version;
  attributes.service = service_selector_.Select(route);
  attributes.object = ObjectOf(route, object);
  attributes.arrived = now - unread;
  attributes.caller_timeout = caller_timeout.value_or(kDefaultCallerTimeout);
  if (caller_timeout.has_value()) {
    auto& max_timeout = max_caller_timeouts_[route.name];
    max_timeout = std::max(max_timeout, *caller_timeout);
    attributes.resubmitted = Ratio(*caller_timeout, max_timeout) < kMinFirstSubmissionTimeoutRatio;
  }
  fleet_.OnTraffic();
  return ForwardedRequest(std::move(attributes));
}

auto GatewayCore::RecordPlacement(ForwardedRequest& request, MonotonicTime now) const -> void {
  request.OnPlacing({policy_ == nullptr ? ConfigVersion() : policy_->version, StoreAge(now),
                     request.attributes().route.allowed_regions});
}

auto GatewayCore::Place(ForwardedRequest& request, MonotonicTime now) -> PlacementResult {
  auto result = ChooseTarget(request, now);
  if (!result.placement.has_value() || !request.NeedsRetryPermit()) return result;
  if (AcquireRetry(request.attributes().service, now)) {
    request.GrantRetryPermit();
    return result;
  }
  result.late_placement = std::exchange(result.placement, std::nullopt);
  result.failure = PlacementFailure::kNoRetryBudget;
  result.retry_after = kRetryAfterWithoutBudget;
  return result;
}

auto GatewayCore::ChooseTarget(const ForwardedRequest& request, MonotonicTime now)
    -> PlacementResult {
  const auto& attributes = request.attributes();
  PlacementQuery query;
  query.route = &attributes.route;
  query.service = attributes.service;
  query.object = attributes.object;
  query.time_left = request.deadline() - now;
  query.objective_left = request.ObjectiveLeft(now);
  query.resubmitted = attributes.resubmitted;
  query.attempted_targets = &request.attempted_targets();
  query.may_spill = spillover_.MaySpill(now);
  const int sender_count = ColdTargetSenderCount(attributes.service);
  const auto& vms = entry_vms_.Announced(now);
  query.primary_region = primary_regions_.PrimaryRegionOf(attributes.service, attributes.object,
                                                          placer_.Capacities(query), now);
  const auto sends_to_cold = [&](const FleetTarget& target) {
    return standing_.kind() != VmStanding::Kind::kLearning &&
           IsTargetSender(vms, options_.node, target.entry().name, target.entry().zone,
                          sender_count);
  };
  query.apartness = request.apartness();
  query.own_rank = request.own_rank();
  auto result = placer_.Choose(query, sends_to_cold, now, random_);
  if (result.placement.has_value() || query.apartness != Apartness::kPreferred) return result;
  query.apartness = Apartness::kNone;
  return placer_.Choose(query, sends_to_cold, now, random_);
}

auto GatewayCore::BeginAttempt(ForwardedRequest& request, const Placement& placement,
                               MonotonicTime now) -> Attempt {
  auto& target = *placement.target;
  Attempt attempt{
      ++last_attempt_, target.entry().name, target.entry().start_id, target.entry().endpoint, now,
      placement};
  target.Begin(attempt.number, placement.queue_wait + placement.max_processing_time,
               placement.processing_time, request.attributes().object, now);
  if (request.apartness() != Apartness::kNone) {
    target.Reserve(attempt.number, request.apartness());
  }
  spillover_.OnSent(target.region() != options_.location.region, now);
  request.OnSent(attempt.target, target.region());
  return attempt;
}

auto GatewayCore::EndAttempt(ForwardedRequest& request, const Attempt& attempt,
                             AttemptOutcome outcome, const std::optional<LoadReport>& load,
                             MonotonicTime now) -> RequestStep {
  if (auto* target = fleet_.Find(attempt.target)) {
    const auto duration =
        target->End(attempt.number, request.attributes().object, ObservationOf(outcome), now);
    if (outcome == AttemptOutcome::kSucceeded) {
      const double reported = ReportedSlowdown::Bounded(load.value_or(LoadReport()).slowdown);
      Learn(request, attempt, *target, duration, reported, now);
    }
    if (load.has_value()) {
      target->reported_slowdown().OnReport(load->slowdown, now);
      target->load().OnReport(*load, now);
      primary_regions_.OnReport(request.attributes().service, target->region(), *load, now);
    } else if (outcome == AttemptOutcome::kRefused) {
      target->load().OnFull(now);
    }
  }
  return request.OnEnd(outcome, now,
                       [&] { return AcquireRetry(request.attributes().service, now); });
}

auto GatewayCore::OnLimitReport(const LimitReport& report, MonotonicTime now) -> bool {
  auto* target = fleet_.Find(report.target);
  if (target == nullptr ||
      !known_limits_.OnHeard(report.target, report.limit, now - report.age, now) ||
      !target->limit().SetLimit(report.limit, now)) {
    return false;
  }
  if (report.limit.has_value()) {
    limited_targets_.insert(report.target);
    target->limit().SetShare(TargetLimitShare(standing_, *target, *report.limit), now);
  } else {
    limited_targets_.erase(report.target);
  }
  return true;
}

auto GatewayCore::OnTick(MonotonicTime now) -> void {
  if (!started_.has_value()) started_ = now;
  standing_.Update(entry_vms_.Announced(now), now);
  absl::erase_if(limited_targets_, [&](const TargetName& name) {
    auto* target = fleet_.Find(name);
    // A target that has gone or started anew has said nothing yet.
    if (target == nullptr || !target->limit().limit().has_value()) {
      known_limits_.Erase(name);
      return true;
    }
    target->limit().SetShare(TargetLimitShare(standing_, *target, *target->limit().limit()), now);
    return false;
  });
}

auto GatewayCore::AbandonAttempt(const ForwardedRequest& request, const Attempt& attempt,
                                 MonotonicTime now) -> void {
  if (auto* target = fleet_.Find(attempt.target)) {
    target->End(attempt.number, request.attributes().object, std::nullopt, now);
  }
}

auto GatewayCore::Learn(const ForwardedRequest& request, const Attempt& attempt,
                        FleetTarget& target, Duration duration, double reported, MonotonicTime now)
    -> void {
  const auto processing_time = duration - attempt.expected.round_trip;
  // Queue wait and warm-up would be mistaken for processing time.
  if (processing_time < kMinProcessingTime || attempt.expected.queue_wait > Duration::zero() ||
      target.IsCold(now)) {
    return;
  }
  const auto& attributes = request.attributes();
  const auto estimate = estimates_.Estimate(attributes.route, attributes.service);
  // The target may have started the request before its slowdown began or ended.
  auto run = UsualRun(processing_time, 1, estimate, attributes.route.session_affinity);
  for (const double slowdown : {attempt.expected.slowdown, reported}) {
    const auto slowed =
        UsualRun(processing_time, slowdown, estimate, attributes.route.session_affinity);
    if (std::abs(std::log(slowed.ratio)) <= std::abs(std::log(run.ratio))) run = slowed;
  }
  if (reported > 1) target.reported_slowdown().OnCompared(run.slowdown == reported);
  target.UpdateSlowness(run.ratio);
  estimates_.Learn(attributes.route, attributes.service, run.cached, run.processing_time);
}

}  // namespace heatherspan
