#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/fleet_target.h"
#include "gateway/registered_target.h"

namespace heatherspan {

/// All registered targets, and the evacuated zones, whose targets get no requests.
class Fleet {
 public:
  using Regions = absl::flat_hash_map<ZoneName, RegionName>;

  /// `cold_after_evacuation`: how long targets count as cold after an evacuation ends. Within this
  /// time a target may be registered as warm although it has become cold meanwhile. It is somewhat
  /// more than a heartbeat.
  Fleet(Regions regions, Duration cold_after_evacuation);

  /// Records that requests are forwarded from now on.
  auto OnTraffic() -> void { has_traffic_ = true; }
  auto Register(const RegisteredTarget& registered, MonotonicTime now) -> void;
  auto Unregister(const TargetName& name) -> void;
  /// The target has said in an answer that it leaves. That is final for this start of it, whatever
  /// the store shows. Returns whether it is new.
  auto OnLeaving(const TargetName& name, MonotonicTime now) -> bool;
  auto SetEvacuated(const ZoneName& zone, bool evacuated, MonotonicTime now) -> void;

  auto Find(const TargetName& name) -> FleetTarget*;
  /// Returns the targets of a service, sorted by name.
  auto TargetsOf(const ServiceName& service) const -> const std::vector<FleetTarget*>&;
  /// Returns whether the target may get new requests.
  auto MayUse(const FleetTarget& target) const -> bool;
  auto size() const -> std::size_t { return targets_.size(); }
  auto regions() const -> const Regions& { return regions_; }

 private:
  auto RegionOf(const ZoneName& zone) const -> RegionName;
  auto RemoveFromService(const FleetTarget& target) -> void;

  /// A target that has said that it leaves. It may register again until it has stopped.
  struct Leaving {
    std::int64_t start_id = 0;
    MonotonicTime named_at;  ///< By itself or by a registration.
  };

  /// Nothing names a target so long after it has stopped.
  static constexpr Duration kLeavingRetention = std::chrono::minutes(10);

  auto IsLeaving(const RegisteredTarget& entry, MonotonicTime now) -> bool;
  auto RememberLeaving(const RegisteredTarget& entry, MonotonicTime now) -> void;

  Regions regions_;
  Duration cold_after_evacuation_;
  absl::flat_hash_map<TargetName, std::unique_ptr<FleetTarget>> targets_;
  absl::flat_hash_map<ServiceName, std::vector<FleetTarget*>> by_service_;
  absl::flat_hash_set<ZoneName> evacuated_;
  absl::flat_hash_map<TargetName, Leaving> leaving_;
  bool has_traffic_ = false;
};

}  // namespace heatherspan
