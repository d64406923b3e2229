#pragma once

#include <map>
#include <memory>
#include <vector>

#include "base/random.h"
#include "experiment/load_outcome.h"
#include "experiment/load_scenario.h"
#include "experiment/model_target.h"
#include "experiment/virtual_time.h"
#include "gateway/gateway_core.h"

namespace heatherspan {

/// Plays a scenario: callers, entry VMs with the real decisions, and targets, in virtual time. Two
/// runs with the same seed are the same.
class LoadModel {
 public:
  explicit LoadModel(LoadScenario scenario);
  ~LoadModel();
  LoadModel(const LoadModel&) = delete;
  auto operator=(const LoadModel&) -> LoadModel& = delete;

  auto Run() -> LoadOutcome;

 private:
  struct Vm;
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  auto AddVms() -> void;
  auto AddTarget(const ModelZone& zone) -> void;
  auto ScheduleFaults() -> void;
  auto ScheduleArrival(std::size_t zone) -> void;
  auto RateOf(const ModelZone& zone) const -> double;
  auto Arrive(std::size_t zone) -> void;
  auto VmFor(const ModelZone& zone, const Vm* other_than) -> Vm&;
  auto Ask(const CallPtr& call) -> void;
  auto Place(const CallPtr& call) -> void;
  auto Send(const CallPtr& call, const Placement& placement) -> void;
  auto Deliver(const CallPtr& call, const TargetName& target) -> void;
  auto Work(ModelTarget& target) -> void;
  auto Reply(std::uint64_t job, const TargetName& target, AttemptOutcome end) -> void;
  auto OnReply(const CallPtr& call, std::uint64_t job, AttemptOutcome end,
               const std::optional<LoadReport>& load) -> void;
  auto Conclude(const CallPtr& call, RequestStep step, Duration retry_after) -> void;
  auto Count(const CallPtr& call, int OutcomeCounts::*counter) -> void;
  auto Delay(const ZoneName& from, const ZoneName& to) const -> Duration;
  auto TargetsIn(const ZoneName& zone, double share) -> std::vector<ModelTarget*>;

  LoadScenario scenario_;
  Random random_;
  VirtualTime time_;
  MonotonicTime start_;
  TrafficPolicy policy_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<TargetName, std::unique_ptr<ModelTarget>> targets_;
  std::map<std::uint64_t, CallPtr> jobs_;  ///< Calls by the number of their present attempt.
  std::map<ZoneName, double> bursts_;
  std::map<ZoneName, RegionName> regions_;
  std::map<std::pair<RegionName, std::uint64_t>, bool> asked_objects_;
  std::uint64_t next_job_ = 0;
  int next_target_ = 0;
  LoadOutcome outcome_;
};

}  // namespace heatherspan
