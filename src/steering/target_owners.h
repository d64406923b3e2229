#pragma once

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "document/target.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// Assigns to each target its owner, the entry VM that fills its slots. The owner is the first node
/// by rendezvous hashing among the live nodes of the target's zone. Without live nodes in the zone,
/// a node in the region's next zone owns the target. Target names are unique within a document.
class TargetOwners {
 public:
  /// The delay before a target passes from one live owner to another. In this time the old owner
  /// learns of the change, and a new entry VM receives its base share of the region's cap, which
  /// takes effect after 4.5 s. With a delay of 3 s, a new entry VM owned targets without a share to
  /// use them. An owner that is leaving or lost is replaced at once.
  static constexpr Duration kHandoverDelay = std::chrono::seconds(6);

  explicit TargetOwners(InstanceId self);

  auto Update(const SteeringView& view, MonotonicTime now) -> void;

  /// Empty when the target is unknown or its region has no live entry VM.
  auto Owner(const TargetName& target, MonotonicTime now) const -> std::optional<InstanceId>;

  /// An owner and its number of targets of one service in one zone.
  struct OwnerCount {
    InstanceId owner;
    int targets = 0;
  };
  auto OwnersIn(const ServiceName& service, const ZoneName& zone, MonotonicTime now) const
      -> std::vector<OwnerCount>;

  /// The targets of a service that this node owns at `now`.
  auto OwnedTargets(const ServiceName& service, MonotonicTime now) const -> std::vector<Target>;

  /// The time at which the next pending change of owner takes effect; empty without one.
  auto NextChange(MonotonicTime now) const -> std::optional<MonotonicTime>;

 private:
  struct Ownership {
    Target target;
    ServiceName service;
    std::optional<InstanceId> current;
    std::optional<InstanceId> next;  ///< The owner from `next_from` on.
    MonotonicTime next_from;
    bool in_view = false;  ///< The latest view contains the target.
  };

  auto IndexGroups() -> void;
  auto UpdateTarget(const SteeringView& view, const Target& target, const ServiceName& service,
                    MonotonicTime now) -> void;
  auto InitialOwnership(const SteeringView& view, const Target& target,
                        std::optional<InstanceId> owner, MonotonicTime now) const -> Ownership;
  static auto OwnerAt(const Ownership& ownership, MonotonicTime now) -> std::optional<InstanceId>;

  InstanceId self_;
  bool is_first_update_ = true;
  absl::flat_hash_map<TargetName, Ownership> targets_;
  /// By service and zone. Rebuilt by each update, since the pointers refer to targets_.
  absl::flat_hash_map<std::pair<ServiceName, ZoneName>, std::vector<const Ownership*>> groups_;
};

}  // namespace heatherspan
