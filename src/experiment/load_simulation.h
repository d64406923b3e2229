#pragma once

#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "base/random.h"
#include "experiment/event_scheduler.h"
#include "experiment/load_outcome.h"
#include "experiment/load_scenario.h"
#include "experiment/simulated_target.h"
#include "gateway/gateway_core.h"

namespace heatherspan {

/// Simulates a scenario in virtual time: callers, entry VMs with the production decision code, and
/// targets. Two runs with the same seed give the same result.
class LoadSimulation {
 public:
  explicit LoadSimulation(LoadScenario scenario);
  ~LoadSimulation();
  LoadSimulation(const LoadSimulation&) = delete;
  auto operator=(const LoadSimulation&) -> LoadSimulation& = delete;

  auto Run() -> LoadOutcome;

 private:
  struct Vm;
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  auto AddVms() -> void;
  auto AddTarget(const ScenarioZone& zone) -> void;
  /// Renews the announcements and lets the VMs update what follows from time.
  auto Tick() -> void;
  auto ScheduleFaults() -> void;
  auto ScheduleArrival(std::size_t zone) -> void;
  auto ArrivalRate(const ScenarioZone& zone) const -> double;
  auto Arrive(std::size_t zone) -> void;
  auto PickKind() -> std::size_t;
  auto PickVm(const ScenarioZone& zone, const Vm* excluded) -> Vm&;
  auto Submit(const RequestPtr& request) -> void;
  auto Place(const RequestPtr& request) -> void;
  auto Send(const RequestPtr& request, const Placement& placement) -> void;
  auto Deliver(const RequestPtr& request, const TargetName& target) -> void;
  auto StartJobs(SimulatedTarget& target) -> void;
  auto SendReply(std::uint64_t job, const TargetName& target, AttemptOutcome outcome) -> void;
  auto OnReply(const RequestPtr& request, std::uint64_t job, AttemptOutcome outcome,
               const std::optional<LoadReport>& load) -> void;
  auto Conclude(const RequestPtr& request, RequestStep step, Duration retry_after) -> void;
  auto Count(const RequestPtr& request, int RequestCounts::*counter) -> void;
  auto Delay(const ZoneName& from, const ZoneName& to) const -> Duration;
  auto PickTargets(const ZoneName& zone, double fraction) -> std::vector<SimulatedTarget*>;

  LoadScenario scenario_;
  Random random_;
  EventScheduler scheduler_;
  MonotonicTime start_;
  TrafficPolicy policy_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<TargetName, std::unique_ptr<SimulatedTarget>> targets_;
  std::map<std::uint64_t, RequestPtr> jobs_;  ///< Requests by the job of their current attempt.
  std::map<ZoneName, double> burst_factors_;
  std::map<ZoneName, RegionName> regions_;
  std::map<std::tuple<RegionName, std::size_t, std::uint64_t>, bool> requested_objects_;
  std::uint64_t next_job_ = 0;
  int next_target_ = 0;
  LoadOutcome outcome_;
};

}  // namespace heatherspan
