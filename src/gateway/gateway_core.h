#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "gateway/carried_request.h"
#include "gateway/entry_roster.h"
#include "gateway/fleet.h"
#include "gateway/placement.h"
#include "gateway/region_balance.h"
#include "gateway/region_split.h"
#include "gateway/retry_window.h"
#include "gateway/route_table.h"
#include "gateway/split_picker.h"
#include "gateway/target_load.h"
#include "gateway/traffic_policy.h"
#include "gateway/work_estimates.h"

namespace heatherspan {

/// One attempt that is under way.
struct Attempt {
  AttemptNumber number = 0;
  TargetName target;
  Placement expected;  ///< Its target pointer is not valid any more once others have been placed.
};

/// Everything that an entry VM believes and decides about requests. It does no I/O; callers pass in
/// the time and what has happened.
class GatewayCore {
 public:
  struct Options {
    NodeName node;
    NodePlace place;
    Fleet::Regions zones;
    Duration heartbeat = std::chrono::milliseconds(1500);
    RetryWindow::Limits retries;
    RegionBalance::Limits balance;
    EntryRoster::Options roster;
  };

  GatewayCore(Options options, std::uint64_t seed);
  GatewayCore(const GatewayCore&) = delete;
  auto operator=(const GatewayCore&) -> GatewayCore& = delete;

  /// Takes a configuration into force. False if it is not newer than the one in force.
  auto ApplyPolicy(TrafficPolicy policy) -> bool;
  /// Null before the first configuration.
  auto policy() const -> const TrafficPolicy* { return policy_.get(); }
  auto ServiceOf(const ServiceName& name) const -> const ServicePolicy*;
  auto SetBounds(RetryWindow::Limits retries, RegionBalance::Limits balance) -> void;

  /// All changes of the store up to that revision have been taken in.
  auto OnStoreSeen(std::uint64_t revision, MonotonicTime now) -> void;
  auto store_revision() const -> std::uint64_t { return store_revision_; }
  auto StoreAge(MonotonicTime now) const -> Duration { return now - store_seen_; }

  /// The part of the service's objects that stays in this node's region.
  auto KeptPart(const ServiceName& service) const -> double { return split_.KeptPart(service); }

  auto fleet() -> Fleet& { return fleet_; }
  auto fleet() const -> const Fleet& { return fleet_; }
  auto roster() -> EntryRoster& { return roster_; }
  auto routes() const -> const RouteTable& { return routes_; }
  auto place() const -> const NodePlace& { return options_.place; }

  /// Begins to carry a request on that route.
  auto Admit(const RequestId& id, const Route& route, std::string_view object,
             std::optional<Duration> patience, MonotonicTime now) -> CarriedRequest;
  /// Chooses a target for the request's next attempt.
  auto Place(const CarriedRequest& request, MonotonicTime now) -> PlacementResult;
  auto BeginAttempt(CarriedRequest& request, const Placement& placement, MonotonicTime now)
      -> Attempt;
  /// Learns from the end of an attempt and says what to do next.
  auto EndAttempt(CarriedRequest& request, const Attempt& attempt, AttemptEnd end,
                  const std::optional<LoadReport>& load, MonotonicTime now) -> RequestStep;
  /// The attempt was given up by this node.
  auto AbandonAttempt(const CarriedRequest& request, const Attempt& attempt, MonotonicTime now)
      -> void;

 private:
  auto Learn(const CarriedRequest& request, const Attempt& attempt, FleetTarget& target,
             Duration took, MonotonicTime now) -> void;
  auto Retries(const ServiceName& service) -> RetryWindow&;
  auto ColdFeeders(const ServiceName& service) const -> int;

  Options options_;
  Random random_;
  std::unique_ptr<const TrafficPolicy> policy_;
  absl::flat_hash_map<ServiceName, const ServicePolicy*> services_;
  RouteTable routes_;
  SplitPicker splits_;
  Fleet fleet_;
  WorkEstimates estimates_;
  RegionSplit split_;
  Placer placer_;
  RegionBalance balance_;
  EntryRoster roster_;
  absl::flat_hash_map<ServiceName, RetryWindow> retries_;
  /// By route: the longest patience seen. A caller that was refused before has less left.
  absl::flat_hash_map<RouteName, Duration> patience_;
  AttemptNumber last_attempt_ = 0;
  std::uint64_t store_revision_ = 0;
  MonotonicTime store_seen_{};
};

}  // namespace heatherspan
