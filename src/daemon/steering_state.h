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

/// The state that a receiving entry VM uses to choose zones: load reports, shift limits, link
/// budgets, the retry budget and the owners of targets. Thread-safe; `mutex_` belongs to the
/// admission level of the lock order and is never held together with the lock of the executor.
class SteeringState {
 public:
  SteeringState(NodeIdentity identity, std::uint64_t seed);

  auto OnConfiguration(const Configuration& configuration, MonotonicTime now) -> void;

  /// Counts a caller's request. Must be called once for each request, before its first attempt.
  auto OnRequest(const ServiceName& service, const RegionName& client_region, MonotonicTime now)
      -> void;

  /// Returns the next attempt and adds it to the history, or returns a refusal if no attempt is
  /// possible. Skips the zones in the history.
  auto PlanAttempt(const Configuration& configuration, const ServiceName& service,
                   const RegionName& client_region, AttemptHistory& history, MonotonicTime now)
      -> std::variant<AttemptPlan, Refusal>;

  auto OnAttemptEnd(const AttemptPlan& plan, const ServiceName& service, ZoneOutcome outcome,
                    std::optional<Duration> retry_after, Bytes actual, MonotonicTime now) -> void;

  auto OnLoadReport(const NodeLoad& load, MonotonicTime now) -> void;
  auto NodeUtilization(const ZoneName& zone, InstanceId instance, MonotonicTime now) const
      -> std::optional<double>;

  /// Takes one retry from the budget and returns the backoff before it, or nullopt if the budget is
  /// used up.
  auto TryRetry(int retry) -> std::optional<Duration>;

  /// The services with the targets that this node owns at the given time.
  auto OwnedServices(const Configuration& configuration, MonotonicTime now) const
      -> std::vector<OwnedTargets>;
  auto NextOwnerChange(MonotonicTime now) const -> std::optional<MonotonicTime>;
  auto RemoveExpiredLoads(MonotonicTime now) -> void;

 private:
  /// Returns a refusal if the shift limiter does not admit the request to the region. Once the
  /// limiter has admitted the request to a region, it is not called again for this region.
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
