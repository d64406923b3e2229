#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "admission/owned_targets.h"
#include "admission/retry_budget.h"
#include "base/random.h"
#include "base/refusal.h"
#include "base/time.h"
#include "daemon/attempt_history.h"
#include "daemon/attempt_plan.h"
#include "daemon/configuration.h"
#include "daemon/node_identity.h"
#include "messages/node_load.h"
#include "steering/link_budget.h"
#include "steering/shift_limiter.h"
#include "steering/target_owners.h"
#include "steering/zone_load_tracker.h"
#include "steering/zone_outcome.h"

namespace heatherspan {

/// What a first node knows and has spent when it chooses zones: loads, shift limits, link budgets,
/// the retry budget and the owners of targets. Thread-safe; its lock belongs to the admission level
/// of the lock order and is never held together with the executor's.
class SteeringState {
 public:
  SteeringState(NodeIdentity identity, std::uint64_t seed);

  auto OnConfiguration(const Configuration& configuration, MonotonicTime now) -> void;

  /// Counts a caller's request once, before its first attempt.
  auto OnRequest(const ServiceName& service, const RegionName& client_region, MonotonicTime now)
      -> void;

  /// The next attempt, passing over zones that were tried, and noted in the history; or why there
  /// is none.
  auto PlanAttempt(const Configuration& configuration, const ServiceName& service,
                   const RegionName& client_region, AttemptHistory& history, MonotonicTime now)
      -> std::variant<AttemptPlan, Refusal>;

  auto OnAttemptEnd(const AttemptPlan& plan, const ServiceName& service, ZoneOutcome outcome,
                    std::optional<Duration> retry_after, Bytes actual, MonotonicTime now) -> void;

  auto OnLoadReport(const NodeLoad& load, MonotonicTime now) -> void;
  auto NodeUtilization(const ZoneName& zone, InstanceId instance, MonotonicTime now) const
      -> std::optional<double>;

  /// Takes one retry from the budget and returns the pause before it.
  auto TryRetry(int retry) -> std::optional<Duration>;

  /// The services with the targets that this node fills now.
  auto OwnedServices(const Configuration& configuration, MonotonicTime now) const
      -> std::vector<OwnedTargets>;
  auto NextOwnerChange(MonotonicTime now) const -> std::optional<MonotonicTime>;
  auto RemoveExpiredLoads(MonotonicTime now) -> void;

 private:
  /// Whether the shift limiter lets the request go to the region; asked once for each region.
  auto AdmitShift(const ServiceName& service, const RegionName& client_region,
                  const RegionName& serving_region, AttemptHistory& history, MonotonicTime now)
      -> std::optional<Refusal>;
  auto LocalRegion(const Configuration& configuration) const -> const RegionName*;

  NodeIdentity identity_;
  mutable std::mutex mutex_;
  Random random_;
  ZoneLoadTracker loads_;
  ShiftLimiter shift_limiter_;
  LinkBudget link_budget_;
  RetryBudget retry_budget_;
  TargetOwners owners_;
};

}  // namespace heatherspan
