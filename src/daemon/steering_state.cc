#include "daemon/steering_state.h"

#include <algorithm>
#include <utility>

#include "steering/choose_executor.h"
#include "steering/rank_zones.h"

namespace heatherspan {
namespace {

// Of several refusals, the first one names the cause, because it belongs to the best zone.
auto KeepFirst(std::optional<Refusal>& first_refusal, const Refusal& refusal) -> void {
  if (!first_refusal.has_value()) first_refusal = refusal;
}

template <class Value>
auto Contains(const std::vector<Value>& values, const Value& value) -> bool {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

SteeringState::SteeringState(NodeIdentity identity, std::uint64_t seed)
    : identity_(std::move(identity)), random_(seed), owners_(identity_.instance) {}

auto SteeringState::LocalRegion(const Configuration& configuration) const -> const RegionName* {
  return configuration.view->RegionOf(identity_.zone);
}

auto SteeringState::OnConfiguration(const Configuration& configuration, MonotonicTime now) -> void {
  const std::lock_guard lock(mutex_);
  shift_limiter_.Configure(*configuration.document);
  link_budget_.Update(*configuration.view, now);
  owners_.Update(*configuration.view, now);
  for (const auto& region : configuration.view->regions()) {
    shift_limiter_.SetHealthy(region.name, region.live_nodes > 0 && !region.drained, now);
  }
}

auto SteeringState::OnRequest(const ServiceName& service, const RegionName& client_region,
                              MonotonicTime now) -> void {
  const std::lock_guard lock(mutex_);
  retry_budget_.OnRequest();
  shift_limiter_.OnRequest(service, client_region, now);
}

auto SteeringState::PlanAttempt(const Configuration& configuration, const ServiceName& service,
                                const RegionName& client_region, AttemptHistory& history,
                                MonotonicTime now) -> std::variant<AttemptPlan, Refusal> {
  const auto* origin_region = LocalRegion(configuration);
  if (origin_region == nullptr) return Refusal{Verdict::kNotRun, Reason::kNoZone, {}};
  const auto bytes = configuration.view->FindService(service.value())->service->mean_response;
  std::optional<Refusal> first_refusal;
  const std::lock_guard lock(mutex_);
  for (const auto& choice :
       RankZones(*configuration.view, loads_, service, identity_.zone, now, random_())) {
    if (Contains(history.attempted_zones, choice.zone)) continue;
    // A drained zone serves only requests that may not be shifted yet.
    if (choice.drained && !first_refusal.has_value()) continue;
    const auto executing_node = ChooseExecutor(owners_, loads_, service, choice.zone, now, random_);
    if (!executing_node.has_value()) continue;
    const auto* node = configuration.view->FindNode(*executing_node);
    if (node == nullptr) continue;
    if (!link_budget_.CanReserve(*origin_region, choice.region, bytes, now)) {
      KeepFirst(first_refusal, {Verdict::kNotRun, Reason::kLinkBudget, std::chrono::seconds(1)});
      continue;
    }
    if (const auto refusal = AdmitShift(service, client_region, choice.region, history, now);
        refusal.has_value()) {
      KeepFirst(first_refusal, *refusal);
      continue;
    }
    history.attempted_zones.push_back(choice.zone);
    link_budget_.TryReserve(*origin_region, choice.region, bytes, now);
    const auto reserved_bytes = choice.region == *origin_region ? Bytes(0) : bytes;
    return AttemptPlan{choice.zone, *origin_region, choice.region, *node, reserved_bytes};
  }
  return first_refusal.value_or(
      Refusal{Verdict::kNotRun, Reason::kNoZone, std::chrono::seconds(1)});
}

auto SteeringState::AdmitShift(const ServiceName& service, const RegionName& client_region,
                               const RegionName& serving_region, AttemptHistory& history,
                               MonotonicTime now) -> std::optional<Refusal> {
  if (Contains(history.admitted_regions, serving_region)) return std::nullopt;
  auto refusal = shift_limiter_.Admit(service, client_region, serving_region, now);
  if (!refusal.has_value()) history.admitted_regions.push_back(serving_region);
  return refusal;
}

auto SteeringState::OnAttemptEnd(const AttemptPlan& plan, const ServiceName& service,
                                 ZoneOutcome outcome, std::optional<Duration> retry_after,
                                 Bytes actual, MonotonicTime now) -> void {
  const std::lock_guard lock(mutex_);
  loads_.OnOutcome(plan.zone, service, outcome, retry_after, now);
  if (plan.reserved_bytes.value() > 0 && outcome == ZoneOutcome::kAnswered) {
    link_budget_.CorrectReservation(plan.origin_region, plan.serving_region, plan.reserved_bytes,
                                    actual);
  }
}

auto SteeringState::OnLoadReport(const NodeLoad& load, MonotonicTime now) -> void {
  const std::lock_guard lock(mutex_);
  loads_.OnReport(load, now);
}

auto SteeringState::NodeUtilization(const ZoneName& zone, InstanceId instance,
                                    MonotonicTime now) const -> std::optional<double> {
  const std::lock_guard lock(mutex_);
  return loads_.NodeUtilization(zone, instance, now);
}

auto SteeringState::TryRetry(int retry) -> std::optional<Duration> {
  const std::lock_guard lock(mutex_);
  if (!retry_budget_.TryRetry()) return std::nullopt;
  return RetryBudget::Backoff(retry, random_);
}

auto SteeringState::OwnedServices(const Configuration& configuration, MonotonicTime now) const
    -> std::vector<OwnedTargets> {
  const std::lock_guard lock(mutex_);
  std::vector<OwnedTargets> services;
  for (const auto& table : configuration.view->services()) {
    auto targets = owners_.OwnedTargets(table.service->name, now);
    services.push_back({table.service->name, table.service->slots_per_target, std::move(targets)});
  }
  return services;
}

auto SteeringState::NextOwnerChange(MonotonicTime now) const -> std::optional<MonotonicTime> {
  const std::lock_guard lock(mutex_);
  return owners_.NextChange(now);
}

auto SteeringState::RemoveExpiredLoads(MonotonicTime now) -> void {
  const std::lock_guard lock(mutex_);
  loads_.RemoveExpired(now);
}

}  // namespace heatherspan
