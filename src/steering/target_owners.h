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

/// Which entry VM fills each target's slots: the first by rendezvous hashing among the live ones of
/// the target's zone or, when the zone has none, of the region's next zone. Target names are unique
/// within a document.
class TargetOwners {
 public:
  /// A change from a live owner to another starts after this time, so that the old owner has seen
  /// it, and a new entry VM has its base share of the region's cap, which begins after 4.5 s: with
  /// a hold of 3 s it owned targets that it had no share to use. An owner that is leaving or gone
  /// is replaced at once.
  static constexpr Duration kHandoverDelay = std::chrono::seconds(6);

  explicit TargetOwners(InstanceId self);

  auto Update(const SteeringView& view, MonotonicTime now) -> void;

  /// Nothing when the target is unknown or its region has no live entry VM.
  auto Owner(const TargetName& target, MonotonicTime now) const -> std::optional<InstanceId>;

  /// The owners of a service's targets in a zone, with the number of targets of each.
  struct OwnerCount {
    InstanceId owner;
    int targets = 0;
  };
  auto OwnersIn(const ServiceName& service, const ZoneName& zone, MonotonicTime now) const
      -> std::vector<OwnerCount>;

  /// The targets of a service that this node fills now.
  auto OwnedTargets(const ServiceName& service, MonotonicTime now) const -> std::vector<Target>;

  /// When the next change of owner takes effect; nothing when none is pending.
  auto NextChange(MonotonicTime now) const -> std::optional<MonotonicTime>;

 private:
  struct Ownership {
    Target target;
    ServiceName service;
    std::optional<InstanceId> current;
    std::optional<InstanceId> next;  ///< Owner from `next_from` on.
    MonotonicTime next_from;
    bool in_view = false;  ///< In the latest view.
  };

  auto IndexGroups() -> void;
  auto UpdateTarget(const SteeringView& view, const Target& target, const ServiceName& service,
                    MonotonicTime now) -> void;
  auto InitialOwnership(const SteeringView& view, const Target& target,
                        std::optional<InstanceId> owner, MonotonicTime now) const -> Ownership;
  static auto OwnerAt(const Ownership& ownership, MonotonicTime now) -> std::optional<InstanceId>;

  InstanceId self_;
  bool is_first_update_ = true;  ///< Until the first view.
  absl::flat_hash_map<TargetName, Ownership> targets_;
  /// By service and zone; rebuilt with each update, since it points into targets_.
  absl::flat_hash_map<std::pair<ServiceName, ZoneName>, std::vector<const Ownership*>> groups_;
};

}  // namespace heatherspan
