#include "experiment/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>
#include <utility>

#include "fmt/format.h"

namespace heatherspan {
namespace {

/// How often a gateway updates what follows from time.
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
/// The entry VMs have known each other for so long when the traffic starts.
constexpr Duration kFleetAge = std::chrono::seconds(10);
constexpr auto kServiceName = "service";
/// How long requests in flight may take after the end of the traffic.
constexpr Duration kDrainTime = std::chrono::seconds(20);
/// Lower limit of the normally distributed processing time, as a fraction of its mean.
constexpr double kMinProcessingTimeFactor = 0.2;

auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto WithKinds(LoadScenario scenario) -> LoadScenario {
  if (!scenario.kinds.empty()) return scenario;
  ScenarioKind kind;
  kind.retry_rule = scenario.retry_rule;
  kind.objects_per_region = scenario.objects_per_region;
  kind.processing_time = scenario.processing_time;
  kind.objective = scenario.objective;
  kind.timeout = scenario.timeout;
  kind.caller_timeout = scenario.caller_timeout;
  scenario.kinds = {kind};
  return scenario;
}

auto RouteOf(const ScenarioKind& kind) -> Route {
  Route route;
  route.name = RouteName(kind.name);
  route.host = kind.name;
  route.path_prefix = "/";
  route.retry_rule = kind.retry_rule;
  route.timeout = kind.timeout;
  route.objective = kind.objective;
  route.priority = kind.priority;
  route.max_attempts = 2;
  route.session_affinity = true;
  route.weighted_services = {{ServiceName(kServiceName), 1}};
  return route;
}

auto PolicyOf(const LoadScenario& scenario) -> TrafficPolicy {
  ServicePolicy service;
  service.name = ServiceName(kServiceName);
  service.cold_time = scenario.cold_time;
  service.cold_requests_per_second = 2;
  TrafficPolicy policy;
  policy.version = ConfigVersion(1);
  for (const auto& kind : scenario.kinds) policy.routes.push_back(RouteOf(kind));
  policy.services = {service};
  return policy;
}

}  // namespace

struct LoadSimulation::Vm {
  NodeName name;
  ZoneName zone;
  std::unique_ptr<GatewayCore> core;
};

/// One request of a caller, with its resubmission after a refusal.
struct LoadSimulation::Request {
  ScenarioZone zone;
  std::size_t kind = 0;
  std::uint64_t object = 0;
  MonotonicTime submitted_at;
  bool resubmitted = false;
  bool finished = false;
  Vm* vm = nullptr;
  std::optional<ForwardedRequest> forwarded;
  std::optional<Attempt> attempt;
  std::uint64_t job = 0;
};

LoadSimulation::LoadSimulation(LoadScenario scenario)
    : scenario_(WithKinds(std::move(scenario))),
      random_(scenario_.seed),
      scheduler_(MonotonicTime(std::chrono::hours(1))),
      start_(scheduler_.now()),
      policy_(PolicyOf(scenario_)) {
  for (const auto& zone : scenario_.zones) regions_[zone.zone] = zone.region;
  AddVms();
  for (const auto& zone : scenario_.zones) {
    for (int i = 0; i < zone.targets; ++i) AddTarget(zone);
  }
}

LoadSimulation::~LoadSimulation() = default;

auto LoadSimulation::AddVms() -> void {
  Fleet::Regions regions(regions_.begin(), regions_.end());
  std::vector<EntryVm> announced;
  for (const auto& zone : scenario_.zones) {
    for (int i = 0; i < zone.entry_vms; ++i) {
      GatewayCore::Options options;
      options.node = NodeName(fmt::format("{}-{}", zone.zone.value(), i));
      options.location.zone = zone.zone;
      options.location.region = zone.region;
      options.location.region_round_trip = 2 * scenario_.region_delay;
      options.zones = regions;
      options.retries = {std::chrono::seconds(10), 0.2, 60};
      auto vm = std::make_unique<Vm>();
      vm->name = options.node;
      vm->zone = zone.zone;
      vm->core = std::make_unique<GatewayCore>(options, random_());
      vm->core->ApplyPolicy(policy_);
      announced.push_back({vm->name, zone.zone, zone.region, {"10.0.0.1", 80}});
      vms_.push_back(std::move(vm));
    }
  }
  for (auto& vm : vms_) {
    for (const auto& entry : announced) vm->core->entry_vms().Announce(entry, scheduler_.now());
  }
}

auto LoadSimulation::AddTarget(const ScenarioZone& zone) -> void {
  RegisteredTarget entry;
  entry.name = TargetName(fmt::format("i-{}-{}", scenario_.seed, next_target_++));
  entry.service = ServiceName(kServiceName);
  entry.zone = zone.zone;
  entry.endpoint = {"10.0.0.2", 80};
  entry.slots = scenario_.slots;
  targets_[entry.name] = std::make_unique<SimulatedTarget>(
      entry, scenario_.queue, static_cast<std::size_t>(scenario_.cached_objects),
      scenario_.cache_hit_factor);
  for (auto& vm : vms_) vm->core->fleet().Register(entry, scheduler_.now());
}

auto LoadSimulation::PickTargets(const ZoneName& zone, double fraction)
    -> std::vector<SimulatedTarget*> {
  std::vector<SimulatedTarget*> found;
  for (const auto& [name, target] : targets_) {
    if (target->entry().zone == zone && !target->stopped()) found.push_back(target.get());
  }
  std::shuffle(found.begin(), found.end(), random_);
  found.resize(static_cast<std::size_t>(std::lround(fraction * static_cast<double>(found.size()))));
  return found;
}

auto LoadSimulation::ScheduleFaults() -> void {
  using Kind = ScenarioFault::Kind;
  for (const auto& fault : scenario_.faults) {
    scheduler_.RunAfter(fault.at, [this, fault] {
      const auto restore = [this, &fault](EventScheduler::Task task) {
        scheduler_.RunAfter(fault.duration, std::move(task));
      };
      if (fault.kind == Kind::kEvacuation) {
        for (auto& vm : vms_) vm->core->fleet().SetEvacuated(fault.zone, true, scheduler_.now());
        restore([this, fault] {
          for (auto& vm : vms_) vm->core->fleet().SetEvacuated(fault.zone, false, scheduler_.now());
        });
      } else if (fault.kind == Kind::kBurst) {
        burst_factors_[fault.zone] = fault.factor;
        restore([this, fault] { burst_factors_.erase(fault.zone); });
      } else if (fault.kind == Kind::kTargetsJoin) {
        const auto found = std::find_if(scenario_.zones.begin(), scenario_.zones.end(),
                                        [&](const auto& zone) { return zone.zone == fault.zone; });
        const auto count = std::lround(fault.fraction * found->targets);
        for (int i = 0; i < count; ++i) AddTarget(*found);
      } else {
        for (auto* target : PickTargets(fault.zone, fault.fraction)) {
          if (fault.kind == Kind::kTargetsSlow) {
            target->SetSlowdown(fault.factor);
            restore([target] { target->SetSlowdown(1); });
            continue;
          }
          const auto name = target->entry().name;
          for (const auto& job : target->Stop()) SendReply(job.id, name, AttemptOutcome::kLost);
        }
      }
    });
  }
}

auto LoadSimulation::ArrivalRate(const ScenarioZone& zone) const -> double {
  const double periods =
      Seconds(scheduler_.now() - start_) / Seconds(scenario_.wave_period) + zone.wave_phase;
  const double wave = 1 + scenario_.wave_amplitude * std::sin(2 * std::numbers::pi * periods);
  const auto burst = burst_factors_.find(zone.zone);
  return zone.requests_per_second * wave * (burst == burst_factors_.end() ? 1 : burst->second);
}

auto LoadSimulation::ScheduleArrival(std::size_t zone) -> void {
  const double rate = std::max(0.01, ArrivalRate(scenario_.zones[zone]));
  const double interarrival_s = std::exponential_distribution<double>(rate)(random_);
  scheduler_.RunAfter(Scale(std::chrono::seconds(1), interarrival_s), [this, zone] {
    if (scheduler_.now() - start_ >= scenario_.length) return;
    Arrive(zone);
    ScheduleArrival(zone);
  });
}

auto LoadSimulation::Arrive(std::size_t zone) -> void {
  auto request = std::make_shared<Request>();
  request->zone = scenario_.zones[zone];
  request->kind = PickKind();
  request->object = std::uniform_int_distribution<std::uint64_t>(
      1, scenario_.kinds[request->kind].objects_per_region)(random_);
  request->submitted_at = scheduler_.now();
  request->vm = &PickVm(request->zone, nullptr);
  requested_objects_[{request->zone.region, request->kind, request->object}] = true;
  Count(request, &RequestCounts::submitted);
  Submit(request);
}

auto LoadSimulation::PickKind() -> std::size_t {
  if (scenario_.kinds.size() == 1) return 0;
  std::vector<double> shares;
  for (const auto& kind : scenario_.kinds) shares.push_back(kind.share);
  return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_);
}

auto LoadSimulation::PickVm(const ScenarioZone& zone, const Vm* excluded) -> Vm& {
  std::vector<Vm*> candidates;
  for (const auto& vm : vms_) {
    if (regions_[vm->zone] == zone.region && vm.get() != excluded) candidates.push_back(vm.get());
  }
  if (candidates.empty()) return *vms_.front();
  return *candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_)];
}

auto LoadSimulation::Submit(const RequestPtr& request) -> void {
  const auto now = scheduler_.now();
  const auto object = fmt::format("{}-{}", request->zone.region.value(), request->object);
  const auto& kind = scenario_.kinds[request->kind];
  request->forwarded =
      request->vm->core->Admit(RequestId("r"), policy_.routes[request->kind], object,
                               kind.caller_timeout - (now - request->submitted_at), now);
  Place(request);
}

auto LoadSimulation::Place(const RequestPtr& request) -> void {
  const auto result = request->vm->core->Place(*request->forwarded, scheduler_.now());
  if (!result.placement.has_value()) {
    Conclude(request, request->forwarded->OnNoTarget(), result.retry_after);
    return;
  }
  Send(request, *result.placement);
}

auto LoadSimulation::Send(const RequestPtr& request, const Placement& placement) -> void {
  const auto target = placement.target->entry().name;
  const auto zone = placement.target->entry().zone;
  request->attempt =
      request->vm->core->BeginAttempt(*request->forwarded, placement, scheduler_.now());
  request->job = ++next_job_;
  jobs_[request->job] = request;
  if (regions_[zone] != request->zone.region) ++outcome_.sent_to_other_regions;
  const auto job = request->job;
  scheduler_.RunAfter(Delay(request->vm->zone, zone),
                      [this, request, target] { Deliver(request, target); });
  scheduler_.RunAfter(request->forwarded->deadline() - scheduler_.now(), [this, request, job] {
    if (request->finished || request->job != job) return;
    jobs_.erase(job);
    request->vm->core->AbandonAttempt(*request->forwarded, *request->attempt, scheduler_.now());
    Conclude(request, request->forwarded->OnDeadline(), Duration::zero());
  });
}

auto LoadSimulation::Deliver(const RequestPtr& request, const TargetName& name) -> void {
  auto& target = *targets_.at(name);
  ++outcome_.arrivals;
  ++outcome_.arrivals_by_target[name];
  if (target.stopped()) {
    SendReply(request->job, name, AttemptOutcome::kNotSent);
    return;
  }
  const double factor =
      std::normal_distribution<double>(1, scenario_.processing_time_deviation)(random_);
  const SimulatedTarget::Job job{request->job, request->forwarded->attributes().object,
                                 Scale(scenario_.kinds[request->kind].processing_time,
                                       std::max(kMinProcessingTimeFactor, factor)),
                                 request->forwarded->deadline()};
  if (!target.Offer(job)) {
    ++outcome_.target_refusals;
    SendReply(request->job, name, AttemptOutcome::kRefused);
    return;
  }
  StartJobs(target);
}

auto LoadSimulation::StartJobs(SimulatedTarget& target) -> void {
  const auto name = target.entry().name;
  const auto started = target.StartNext(scheduler_.now(), [&](const SimulatedTarget::Job& job) {
    ++outcome_.target_refusals;
    SendReply(job.id, name, AttemptOutcome::kRefused);
  });
  for (const auto& run : started) {
    if (run.cache_miss) ++outcome_.uncached_runs;
    scheduler_.RunAfter(run.duration, [this, &target, name, id = run.job.id] {
      target.OnEnd();
      SendReply(id, name, target.stopped() ? AttemptOutcome::kLost : AttemptOutcome::kSucceeded);
      if (!target.stopped()) StartJobs(target);
    });
  }
}

auto LoadSimulation::SendReply(std::uint64_t job, const TargetName& target, AttemptOutcome outcome)
    -> void {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const auto request = found->second;
  const auto& simulated = *targets_.at(target);
  std::optional<LoadReport> load;
  if (scenario_.reports_load && !simulated.stopped()) load = simulated.Load();
  scheduler_.RunAfter(
      Delay(simulated.entry().zone, request->vm->zone),
      [this, request, job, outcome, load] { OnReply(request, job, outcome, load); });
}

auto LoadSimulation::OnReply(const RequestPtr& request, std::uint64_t job, AttemptOutcome outcome,
                             const std::optional<LoadReport>& load) -> void {
  if (request->finished || request->job != job) return;
  jobs_.erase(job);
  request->job = 0;
  const auto step = request->vm->core->EndAttempt(*request->forwarded, *request->attempt, outcome,
                                                  load, scheduler_.now());
  if (step == RequestStep::kPlace) {
    Place(request);
    return;
  }
  if (step == RequestStep::kDeliver && outcome == AttemptOutcome::kSucceeded) {
    request->finished = true;
    const bool in_time =
        scheduler_.now() - request->submitted_at <= scenario_.kinds[request->kind].objective;
    Count(request, in_time ? &RequestCounts::in_time : &RequestCounts::late);
    return;
  }
  Conclude(request, step, Duration::zero());
}

auto LoadSimulation::Conclude(const RequestPtr& request, RequestStep step, Duration retry_after)
    -> void {
  request->job = 0;
  const bool refused = step == RequestStep::kRefuse;
  const auto waited = scheduler_.now() - request->submitted_at;
  if (refused && !request->resubmitted &&
      waited + retry_after < scenario_.kinds[request->kind].caller_timeout) {
    request->resubmitted = true;
    request->vm = &PickVm(request->zone, request->vm);
    scheduler_.RunAfter(retry_after, [this, request] { Submit(request); });
    return;
  }
  request->finished = true;
  Count(request, refused ? &RequestCounts::refused : &RequestCounts::failed);
}

auto LoadSimulation::Count(const RequestPtr& request, int RequestCounts::*counter) -> void {
  const auto second = static_cast<std::size_t>(Seconds(request->submitted_at - start_));
  if (outcome_.by_second.size() <= second) outcome_.by_second.resize(second + 1);
  ++(outcome_.total.*counter);
  ++(outcome_.by_zone[request->zone.zone].*counter);
  ++(outcome_.by_kind[scenario_.kinds[request->kind].name].*counter);
  ++(outcome_.by_second[second].*counter);
}

auto LoadSimulation::Delay(const ZoneName& from, const ZoneName& to) const -> Duration {
  if (from == to) return Duration::zero();
  return regions_.at(from) == regions_.at(to) ? scenario_.zone_delay : scenario_.region_delay;
}

auto LoadSimulation::Tick() -> void {
  const auto now = scheduler_.now();
  for (auto& vm : vms_) {
    vm->core->OnAnnouncementRenewed(now);
    vm->core->OnTick(now);
  }
  scheduler_.RunAfter(kTickInterval, [this] { Tick(); });
}

auto LoadSimulation::Run() -> LoadOutcome {
  for (auto& vm : vms_) vm->core->OnTick(start_ - kFleetAge);
  Tick();
  ScheduleFaults();
  for (std::size_t zone = 0; zone < scenario_.zones.size(); ++zone) ScheduleArrival(zone);
  scheduler_.RunUntil(start_ + scenario_.length + kDrainTime);
  outcome_.distinct_objects = static_cast<int>(requested_objects_.size());
  return outcome_;
}

}  // namespace heatherspan
