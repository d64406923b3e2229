#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/units.h"
#include "gateway/entry_vm_directory.h"
#include "gateway/fleet.h"
#include "gateway/forwarded_request.h"
#include "gateway/known_limits.h"
#include "gateway/limit_report.h"
#include "gateway/placement.h"
#include "gateway/primary_region_selector.h"
#include "gateway/processing_time_estimates.h"
#include "gateway/relay_terms.h"
#include "gateway/route_table.h"
#include "gateway/service_retry_budget.h"
#include "gateway/service_selector.h"
#include "gateway/spillover_limiter.h"
#include "gateway/target_load.h"
#include "gateway/traffic_policy.h"
#include "gateway/vm_standing.h"

namespace heatherspan {

/// An attempt in progress.
struct Attempt {
  AttemptNumber number = 0;
  TargetName target;
  std::int64_t start_id = 0;  ///< Of the target.
  Endpoint endpoint;
  MonotonicTime began;
  Placement expected;  ///< Its target pointer is invalid once other requests have been placed.
};

/// All state and decisions of an entry VM about requests. The class does no I/O; callers pass in
/// the time and the events.
class GatewayCore {
 public:
  struct Options {
    NodeName node;
    NodeLocation location;
    Fleet::Regions zones;
    Duration heartbeat = std::chrono::milliseconds(1500);
    ServiceRetryBudget::Limits retries;
    SpilloverLimiter::Limits spillover;
    EntryVmDirectory::Options entry_vms;
  };

  GatewayCore(Options options, std::uint64_t seed);
  GatewayCore(const GatewayCore&) = delete;
  auto operator=(const GatewayCore&) -> GatewayCore& = delete;

  /// Applies a configuration. Returns false if it is not newer than the current one.
  auto ApplyPolicy(TrafficPolicy policy) -> bool;
  /// Null before the first configuration.
  auto policy() const -> const TrafficPolicy* { return policy_.get(); }
  auto ServiceOf(const ServiceName& name) const -> const ServicePolicy*;
  auto SetLimits(ServiceRetryBudget::Limits retries, SpilloverLimiter::Limits spillover) -> void;

  /// The time within which all entry VMs know of a change in the store.
  auto SetChangeBound(Duration bound) -> void { standing_.SetChangeBound(bound); }
  /// The store has renewed this VM's announcement, at the given time or later.
  auto OnAnnouncementRenewed(MonotonicTime at) -> void { standing_.OnAnnouncementRenewed(at); }
  /// The store is back from an older copy, which may lack this VM's announcement.
  auto OnStoreRestored() -> void { standing_.OnStoreRestored(); }

  /// All changes of the store up to the revision have been applied. The state was complete at the
  /// given time.
  auto OnStoreSeen(std::uint64_t revision, MonotonicTime at) -> void;
  auto store_revision() const -> std::uint64_t { return store_revision_; }
  auto StoreAge(MonotonicTime now) const -> Duration { return now - store_seen_at_; }

  /// Returns the fraction of the service's objects whose primary region is this node's region.
  auto LocalFraction(const ServiceName& service) const -> double {
    return primary_regions_.LocalFraction(service);
  }

  auto fleet() -> Fleet& { return fleet_; }
  auto fleet() const -> const Fleet& { return fleet_; }
  auto entry_vms() -> EntryVmDirectory& { return entry_vms_; }
  auto routes() const -> const RouteTable& { return routes_; }
  auto node() const -> const NodeName& { return options_.node; }
  auto location() const -> const NodeLocation& { return options_.location; }

  /// Starts to forward a caller's request on the route. `unread`: how long it may have waited to be
  /// read.
  auto Admit(const RequestId& id, const Route& route, std::string_view object,
             std::optional<Duration> caller_timeout, MonotonicTime now,
             Duration unread = Duration::zero()) -> ForwardedRequest;
  /// The same for a request that another entry VM passes on and has counted.
  auto AdmitPassedOn(const RequestId& id, const Route& route, std::string_view object,
                     std::optional<Duration> caller_timeout, const RelayTerms& terms,
                     MonotonicTime now, Duration unread = Duration::zero()) -> ForwardedRequest;
  /// The request is passed on to another entry VM, which takes retries from its own budget.
  auto OnPassedOn(ForwardedRequest& request) -> void;
  /// Notes what the request's next attempt rests on, at a target or through another entry VM.
  auto RecordPlacement(ForwardedRequest& request, MonotonicTime now) const -> void;
  /// Chooses a target for the request's next attempt.
  auto Place(ForwardedRequest& request, MonotonicTime now) -> PlacementResult;
  auto BeginAttempt(ForwardedRequest& request, const Placement& placement, MonotonicTime now)
      -> Attempt;
  /// Updates the estimates from the outcome of an attempt and returns the next step.
  auto EndAttempt(ForwardedRequest& request, const Attempt& attempt, AttemptOutcome outcome,
                  const std::optional<LoadReport>& load, MonotonicTime now) -> RequestStep;
  /// The target has named a limit for the requests of all entry VMs together, or none, to this node
  /// now or to another one. Returns whether this is new.
  auto OnLimitReport(const LimitReport& report, MonotonicTime now) -> bool;
  /// Returns what to tell other entry VMs of limits.
  auto LimitReports(MonotonicTime now) const -> std::vector<LimitReport> {
    return known_limits_.Reports(now);
  }
  /// Draws a number from 0 to 1, by which this node differs from the others.
  auto DrawSpread() -> double { return std::uniform_real_distribution<double>(0, 1)(random_); }
  /// Updates this node's standing and its shares of the limits. Called several times per second.
  auto OnTick(MonotonicTime now) -> void;
  /// This node cancelled the attempt.
  auto AbandonAttempt(const ForwardedRequest& request, const Attempt& attempt, MonotonicTime now)
      -> void;

 private:
  /// `reported`: the target's slowdown by its report at the end of the attempt.
  auto Learn(const ForwardedRequest& request, const Attempt& attempt, FleetTarget& target,
             Duration duration, double reported, MonotonicTime now) -> void;
  auto MakeRequest(const RequestId& id, const Route& route, std::string_view object,
                   std::optional<Duration> caller_timeout, MonotonicTime now, Duration unread)
      -> ForwardedRequest;
  auto ChooseTarget(const ForwardedRequest& request, MonotonicTime now) -> PlacementResult;
  auto RetryBudgetOf(const ServiceName& service) -> ServiceRetryBudget&;
  auto AcquireRetry(const ServiceName& service, MonotonicTime now) -> bool;
  auto ColdTargetSenderCount(const ServiceName& service) const -> int;

  Options options_;
  Random random_;
  std::unique_ptr<const TrafficPolicy> policy_;
  absl::flat_hash_map<ServiceName, const ServicePolicy*> services_;
  RouteTable routes_;
  ServiceSelector service_selector_;
  Fleet fleet_;
  ProcessingTimeEstimates estimates_;
  PrimaryRegionSelector primary_regions_;
  Placer placer_;
  SpilloverLimiter spillover_;
  VmStanding standing_;
  KnownLimits known_limits_;
  absl::flat_hash_set<TargetName> limited_targets_;
  EntryVmDirectory entry_vms_;
  absl::flat_hash_map<ServiceName, ServiceRetryBudget> retry_budgets_;
  /// Longest caller timeout seen, by route. A resubmission has a shorter timeout left.
  absl::flat_hash_map<RouteName, Duration> max_caller_timeouts_;
  AttemptNumber last_attempt_ = 0;
  std::optional<MonotonicTime> started_;
  std::uint64_t store_revision_ = 0;
  MonotonicTime store_seen_at_{};
};

}  // namespace heatherspan
