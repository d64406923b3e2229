#include "experiment/load_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>
#include <utility>

#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr auto kServiceText = "service";
constexpr auto kRouteText = "route";
/// What is under way when the traffic ends gets this long.
constexpr Duration kAfterglow = std::chrono::seconds(20);
constexpr double kLeastWork = 0.2;  ///< Of the mean, where the spread would give less.

auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto PolicyOf(const LoadScenario& scenario) -> TrafficPolicy {
  Route route;
  route.name = RouteName(kRouteText);
  route.host = "host";
  route.path_prefix = "/";
  route.retry_rule = scenario.repeat;
  route.timeout = scenario.timeout;
  route.objective = scenario.objective;
  route.max_attempts = 2;
  route.session_affinity = true;
  route.weighted_services = {{ServiceName(kServiceText), 1}};
  ServicePolicy service;
  service.name = ServiceName(kServiceText);
  service.cold_time = scenario.cold_time;
  service.cold_requests_per_second = 2;
  TrafficPolicy policy;
  policy.version = ConfigVersion(1);
  policy.routes = {route};
  policy.services = {service};
  return policy;
}

}  // namespace

struct LoadModel::Vm {
  NodeName name;
  ZoneName zone;
  std::unique_ptr<GatewayCore> core;
};

/// One request of a caller, with its repeat after a refusal.
struct LoadModel::Call {
  ModelZone zone;
  std::uint64_t object = 0;
  MonotonicTime asked;
  bool repeated = false;
  bool over = false;
  Vm* vm = nullptr;
  std::optional<ForwardedRequest> life;
  std::optional<Attempt> attempt;
  std::uint64_t job = 0;
};

LoadModel::LoadModel(LoadScenario scenario)
    : scenario_(std::move(scenario)),
      random_(scenario_.seed),
      time_(MonotonicTime(std::chrono::hours(1))),
      start_(time_.now()),
      policy_(PolicyOf(scenario_)) {
  for (const auto& zone : scenario_.zones) regions_[zone.zone] = zone.region;
  AddVms();
  for (const auto& zone : scenario_.zones) {
    for (int i = 0; i < zone.targets; ++i) AddTarget(zone);
  }
}

LoadModel::~LoadModel() = default;

auto LoadModel::AddVms() -> void {
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
    for (const auto& entry : announced) vm->core->entry_vms().Announce(entry, time_.now());
  }
}

auto LoadModel::AddTarget(const ModelZone& zone) -> void {
  RegisteredTarget entry;
  entry.name = TargetName(fmt::format("i-{}-{}", scenario_.seed, next_target_++));
  entry.service = ServiceName(kServiceText);
  entry.zone = zone.zone;
  entry.endpoint = {"10.0.0.2", 80};
  entry.slots = scenario_.slots;
  targets_[entry.name] = std::make_unique<ModelTarget>(
      entry, scenario_.queue, static_cast<std::size_t>(scenario_.remembered_objects),
      scenario_.warm_factor);
  for (auto& vm : vms_) vm->core->fleet().Register(entry, time_.now());
}

auto LoadModel::TargetsIn(const ZoneName& zone, double share) -> std::vector<ModelTarget*> {
  std::vector<ModelTarget*> found;
  for (const auto& [name, target] : targets_) {
    if (target->entry().zone == zone && !target->stopped()) found.push_back(target.get());
  }
  std::shuffle(found.begin(), found.end(), random_);
  found.resize(static_cast<std::size_t>(std::lround(share * static_cast<double>(found.size()))));
  return found;
}

auto LoadModel::ScheduleFaults() -> void {
  using Kind = ModelFault::Kind;
  for (const auto& fault : scenario_.faults) {
    time_.After(fault.at, [this, fault] {
      const auto undo = [this, &fault](VirtualTime::Task task) {
        time_.After(fault.duration, std::move(task));
      };
      if (fault.kind == Kind::kEvacuation) {
        for (auto& vm : vms_) vm->core->fleet().SetEvacuated(fault.zone, true, time_.now());
        undo([this, fault] {
          for (auto& vm : vms_) vm->core->fleet().SetEvacuated(fault.zone, false, time_.now());
        });
      } else if (fault.kind == Kind::kBurst) {
        bursts_[fault.zone] = fault.factor;
        undo([this, fault] { bursts_.erase(fault.zone); });
      } else if (fault.kind == Kind::kJoin) {
        const auto found = std::find_if(scenario_.zones.begin(), scenario_.zones.end(),
                                        [&](const auto& zone) { return zone.zone == fault.zone; });
        const auto count = std::lround(fault.share * found->targets);
        for (int i = 0; i < count; ++i) AddTarget(*found);
      } else {
        for (auto* target : TargetsIn(fault.zone, fault.share)) {
          if (fault.kind == Kind::kTargetsSlow) {
            target->SetSlowness(fault.factor);
            undo([target] { target->SetSlowness(1); });
            continue;
          }
          const auto name = target->entry().name;
          for (const auto& job : target->Stop()) Reply(job.id, name, AttemptOutcome::kLost);
        }
      }
    });
  }
}

auto LoadModel::RateOf(const ModelZone& zone) const -> double {
  const double turns =
      Seconds(time_.now() - start_) / Seconds(scenario_.wave_period) + zone.wave_phase;
  const double wave = 1 + scenario_.wave_swing * std::sin(2 * std::numbers::pi * turns);
  const auto burst = bursts_.find(zone.zone);
  return zone.requests_per_second * wave * (burst == bursts_.end() ? 1 : burst->second);
}

auto LoadModel::ScheduleArrival(std::size_t zone) -> void {
  const double rate = std::max(0.01, RateOf(scenario_.zones[zone]));
  const double pause = std::exponential_distribution<double>(rate)(random_);
  time_.After(Scale(std::chrono::seconds(1), pause), [this, zone] {
    if (time_.now() - start_ >= scenario_.length) return;
    Arrive(zone);
    ScheduleArrival(zone);
  });
}

auto LoadModel::Arrive(std::size_t zone) -> void {
  auto call = std::make_shared<Call>();
  call->zone = scenario_.zones[zone];
  call->object =
      std::uniform_int_distribution<std::uint64_t>(1, scenario_.objects_per_region)(random_);
  call->asked = time_.now();
  call->vm = &VmFor(call->zone, nullptr);
  asked_objects_[{call->zone.region, call->object}] = true;
  Count(call, &OutcomeCounts::asked);
  Ask(call);
}

auto LoadModel::VmFor(const ModelZone& zone, const Vm* other_than) -> Vm& {
  std::vector<Vm*> choice;
  for (const auto& vm : vms_) {
    if (regions_[vm->zone] == zone.region && vm.get() != other_than) choice.push_back(vm.get());
  }
  if (choice.empty()) return *vms_.front();
  return *choice[std::uniform_int_distribution<std::size_t>(0, choice.size() - 1)(random_)];
}

auto LoadModel::Ask(const CallPtr& call) -> void {
  const auto now = time_.now();
  const auto object = fmt::format("{}-{}", call->zone.region.value(), call->object);
  call->life = call->vm->core->Admit(RequestId("r"), policy_.routes.front(), object,
                                     scenario_.patience - (now - call->asked), now);
  Place(call);
}

auto LoadModel::Place(const CallPtr& call) -> void {
  const auto result = call->vm->core->Place(*call->life, time_.now());
  if (!result.placement.has_value()) {
    Conclude(call, call->life->OnNoTarget(), result.retry_after);
    return;
  }
  Send(call, *result.placement);
}

auto LoadModel::Send(const CallPtr& call, const Placement& placement) -> void {
  const auto target = placement.target->entry().name;
  const auto zone = placement.target->entry().zone;
  call->attempt = call->vm->core->BeginAttempt(*call->life, placement, time_.now());
  call->job = ++next_job_;
  jobs_[call->job] = call;
  if (regions_[zone] != call->zone.region) ++outcome_.left_region;
  const auto job = call->job;
  time_.After(Delay(call->vm->zone, zone), [this, call, target] { Deliver(call, target); });
  time_.After(call->life->deadline() - time_.now(), [this, call, job] {
    if (call->over || call->job != job) return;
    jobs_.erase(job);
    call->vm->core->AbandonAttempt(*call->life, *call->attempt, time_.now());
    Conclude(call, call->life->OnDeadline(), Duration::zero());
  });
}

auto LoadModel::Deliver(const CallPtr& call, const TargetName& name) -> void {
  auto& target = *targets_.at(name);
  ++outcome_.arrivals;
  ++outcome_.by_target[name];
  if (target.stopped()) {
    Reply(call->job, name, AttemptOutcome::kNotSent);
    return;
  }
  const double spread = std::normal_distribution<double>(1, scenario_.work_spread)(random_);
  const ModelTarget::Job job{call->job, call->life->attributes().object,
                             Scale(scenario_.work, std::max(kLeastWork, spread)),
                             call->life->deadline()};
  if (!target.Offer(job)) {
    ++outcome_.target_refusals;
    Reply(call->job, name, AttemptOutcome::kRefused);
    return;
  }
  Work(target);
}

auto LoadModel::Work(ModelTarget& target) -> void {
  const auto name = target.entry().name;
  const auto started = target.StartNext(time_.now(), [&](const ModelTarget::Job& job) {
    ++outcome_.target_refusals;
    Reply(job.id, name, AttemptOutcome::kRefused);
  });
  for (const auto& run : started) {
    if (run.was_cold) ++outcome_.cold_runs;
    time_.After(run.takes, [this, &target, name, id = run.job.id] {
      target.OnEnd();
      Reply(id, name, target.stopped() ? AttemptOutcome::kLost : AttemptOutcome::kSucceeded);
      if (!target.stopped()) Work(target);
    });
  }
}

auto LoadModel::Reply(std::uint64_t job, const TargetName& target, AttemptOutcome end) -> void {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const auto call = found->second;
  const auto& model = *targets_.at(target);
  std::optional<LoadReport> load;
  if (scenario_.reports_load && !model.stopped()) load = model.Load();
  time_.After(Delay(model.entry().zone, call->vm->zone),
              [this, call, job, end, load] { OnReply(call, job, end, load); });
}

auto LoadModel::OnReply(const CallPtr& call, std::uint64_t job, AttemptOutcome end,
                        const std::optional<LoadReport>& load) -> void {
  if (call->over || call->job != job) return;
  jobs_.erase(job);
  call->job = 0;
  const auto step = call->vm->core->EndAttempt(*call->life, *call->attempt, end, load, time_.now());
  if (step == RequestStep::kPlace) {
    Place(call);
    return;
  }
  if (step == RequestStep::kDeliver && end == AttemptOutcome::kSucceeded) {
    call->over = true;
    const bool in_time = time_.now() - call->asked <= scenario_.objective;
    Count(call, in_time ? &OutcomeCounts::in_time : &OutcomeCounts::late);
    return;
  }
  Conclude(call, step, Duration::zero());
}

auto LoadModel::Conclude(const CallPtr& call, RequestStep step, Duration retry_after) -> void {
  call->job = 0;
  const bool refused = step == RequestStep::kRefuse;
  const auto waited = time_.now() - call->asked;
  if (refused && !call->repeated && waited + retry_after < scenario_.patience) {
    call->repeated = true;
    call->vm = &VmFor(call->zone, call->vm);
    time_.After(retry_after, [this, call] { Ask(call); });
    return;
  }
  call->over = true;
  Count(call, refused ? &OutcomeCounts::refused : &OutcomeCounts::failed);
}

auto LoadModel::Count(const CallPtr& call, int OutcomeCounts::*counter) -> void {
  const auto second = static_cast<std::size_t>(Seconds(call->asked - start_));
  if (outcome_.by_second.size() <= second) outcome_.by_second.resize(second + 1);
  ++(outcome_.total.*counter);
  ++(outcome_.by_zone[call->zone.zone].*counter);
  ++(outcome_.by_second[second].*counter);
}

auto LoadModel::Delay(const ZoneName& from, const ZoneName& to) const -> Duration {
  if (from == to) return Duration::zero();
  return regions_.at(from) == regions_.at(to) ? scenario_.zone_delay : scenario_.region_delay;
}

auto LoadModel::Run() -> LoadOutcome {
  ScheduleFaults();
  for (std::size_t zone = 0; zone < scenario_.zones.size(); ++zone) ScheduleArrival(zone);
  time_.RunUntil(start_ + scenario_.length + kAfterglow);
  outcome_.distinct_objects = static_cast<int>(asked_objects_.size());
  return outcome_;
}

}  // namespace heatherspan
