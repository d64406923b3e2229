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

/// The targets that this node owns, with their slots. It never has more requests in flight to a
/// target than the target has slots. Target names are unique within a service.
class TargetPool {
 public:
  explicit TargetPool(TargetPoolOptions options = {});
  TargetPool(const TargetPool&) = delete;
  auto operator=(const TargetPool&) -> TargetPool& = delete;

  /// Replaces the services and targets. A target that stays keeps its state; one that is removed
  /// keeps its in-flight count until its last slot is released, also when it is added again before.
  auto Configure(const std::vector<OwnedTargets>& services) -> void;

  /// A slot of the better of two targets drawn at random, or why there is none: kNoTarget (the
  /// service has none here), kDrained (all are draining) or kTargetBusy (no free slot now).
  auto Acquire(const ServiceName& service, MonotonicTime now, Random& random)
      -> std::variant<TargetSlot, Reason>;

  auto Release(const TargetSlot& slot, const TargetResult& result, MonotonicTime now) -> void;

  auto OnReport(const TargetReport& report, MonotonicTime now) -> void;

  /// From the document or the platform's list of VMs; holds until it is set to false.
  auto SetDraining(const TargetName& target, bool draining) -> void;

  /// The targets to probe now. They count as probed: each is returned at most once per probe
  /// interval, and only when no live request completed in that time.
  auto ProbeCandidates(MonotonicTime now) -> std::vector<std::shared_ptr<const Target>>;

  /// The result of GET /-/health; it counts only when no live request completed for a probe
  /// interval. A good one doesn't end an ejection, since health endpoints may mislead.
  auto OnProbe(const TargetName& target, bool healthy, MonotonicTime now) -> void;

  /// Usable and used slots, without targets that are drained, ejected or failing; `queued` is left
  /// zero.
  auto Load(const ServiceName& service, MonotonicTime now) const -> ServiceLoad;

  /// The mean of the targets' smoothed latencies; nothing before the first answer.
  auto Latency(const ServiceName& service) const -> std::optional<Duration>;

  /// Requests in flight, also to removed targets.
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
  std::vector<TargetState*> candidates_;  ///< Scratch space of Acquire.
  std::uint64_t next_sequence_ = 1;
};

}  // namespace heatherspan
