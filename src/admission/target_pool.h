#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admission/owned_targets.h"
#include "admission/target_pool_options.h"
#include "admission/target_report.h"
#include "admission/target_result.h"
#include "admission/target_slot.h"
#include "admission/target_state.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/reason.h"
#include "base/time.h"
#include "messages/service_load.h"

namespace heatherspan {

/// The targets that this node owns, with their slots. The pool never has more requests in flight to
/// a target than the target has slots. Target names are unique within a service.
class TargetPool {
 public:
  explicit TargetPool(TargetPoolOptions options = {});
  TargetPool(const TargetPool&) = delete;
  auto operator=(const TargetPool&) -> TargetPool& = delete;

  /// Replaces the services and targets. A target that is still configured keeps its state. A
  /// removed target keeps its in-flight count until its last slot is released, also when the target
  /// is added again before that.
  auto Configure(const std::vector<OwnedTargets>& services) -> void;

  /// Acquires a slot of the better of two targets drawn at random. If none is available, returns
  /// the reason: kNoTarget (this node owns no target of the service), kDrained (all targets are
  /// draining) or kTargetBusy (no target can take a request at this time).
  auto Acquire(const ServiceName& service, MonotonicTime now, Random& random)
      -> std::variant<TargetSlot, Reason>;

  auto Release(const TargetSlot& slot, const TargetResult& result, MonotonicTime now) -> void;

  auto OnReport(const TargetReport& report, MonotonicTime now) -> void;

  /// Sets a drain that the document or the platform's list of VMs orders. The drain stays in force
  /// until it is set to false.
  auto SetDraining(const TargetName& target, bool draining) -> void;

  /// The targets to probe now. Returned targets count as probed: each target is returned at most
  /// once per probe interval, and only when no live request to it completed in that interval.
  auto ProbeCandidates(MonotonicTime now) -> std::vector<std::shared_ptr<const Target>>;

  /// Handles the result of GET /-/health. The result counts only when no live request completed
  /// within the last probe interval. A healthy result does not end an ejection, since a health
  /// endpoint may report a failing target as healthy.
  auto OnProbe(const TargetName& target, bool healthy, MonotonicTime now) -> void;

  /// Usable and used slots, without those of draining, ejected and failing targets. `queued` stays
  /// zero.
  auto Load(const ServiceName& service, MonotonicTime now) const -> ServiceLoad;

  /// The mean of the targets' smoothed latencies; nullopt before the first answer.
  auto Latency(const ServiceName& service) const -> std::optional<Duration>;

  /// Requests in flight, including those to removed targets.
  auto InFlight() const -> int;
  auto InFlight(const TargetName& target) const -> int;

 private:
  using Targets = std::vector<std::unique_ptr<TargetState>>;

  auto Find(const ServiceName& service, const TargetName& target) -> TargetState*;
  auto EjectIfAllowed(const Targets& targets, TargetState& state, MonotonicTime now) -> void;
  auto EraseIdleRemoved(Targets& targets) -> void;
  auto ConfigureService(const OwnedTargets& service) -> void;

  TargetPoolOptions options_;
  absl::flat_hash_map<ServiceName, Targets> services_;
  std::vector<TargetName> draining_;
  std::vector<TargetState*> candidates_;  ///< Reused by Acquire to avoid allocations.
  std::uint64_t next_sequence_ = 1;
};

}  // namespace heatherspan
