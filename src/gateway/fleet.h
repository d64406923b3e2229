#pragma once

#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/fleet_target.h"
#include "gateway/registered_target.h"

namespace heatherspan {

/// All registered targets, and the zones whose targets are to get nothing.
class Fleet {
 public:
  using Regions = absl::flat_hash_map<ZoneName, RegionName>;

  /// `recheck` is how long after the end of an evacuation a target may still be registered as warm
  /// although it has become cold meanwhile: somewhat more than a heartbeat.
  Fleet(Regions regions, Duration cold_after_evacuation);

  /// Requests are being carried from now on.
  auto OnTraffic() -> void { has_traffic_ = true; }
  auto Register(const RegisteredTarget& entry, MonotonicTime now) -> void;
  auto Unregister(const TargetName& name) -> void;
  auto SetEvacuated(const ZoneName& zone, bool evacuated, MonotonicTime now) -> void;

  auto Find(const TargetName& name) -> FleetTarget*;
  /// The targets of a service in a stable order.
  auto TargetsOf(const ServiceName& service) const -> const std::vector<FleetTarget*>&;
  /// Whether new requests may be sent to the target at all.
  auto MayUse(const FleetTarget& target) const -> bool;
  auto size() const -> std::size_t { return targets_.size(); }
  auto regions() const -> const Regions& { return regions_; }

 private:
  auto RegionOf(const ZoneName& zone) const -> RegionName;
  auto RemoveFromService(const FleetTarget& target) -> void;

  Regions regions_;
  Duration cold_after_evacuation_;
  absl::flat_hash_map<TargetName, std::unique_ptr<FleetTarget>> targets_;
  absl::flat_hash_map<ServiceName, std::vector<FleetTarget*>> by_service_;
  absl::flat_hash_set<ZoneName> evacuated_;
  bool has_traffic_ = false;
};

}  // namespace heatherspan
