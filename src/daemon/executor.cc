#include "daemon/executor.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "base/number_text.h"
#include "daemon/forward_results.h"
#include "daemon/target_exchange.h"
#include "daemon/target_report_reader.h"
#include "net/http_client.h"
#include "observe/metrics_registry.h"

namespace heatherspan {
namespace {

// Two seconds of work for the 24 slots of a zone at 20 ms a request would be 2,400; a caller does
// not wait that long.
constexpr std::size_t kQueueCapacity = 512;
// The token bucket's burst: small, since the bursts of all nodes add up above the cap's rate.
constexpr double kShareBurst = 4;
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kRetryWithoutShare = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kLongestRetryAfter = std::chrono::seconds(10);

auto FindTeam(const Document& document, const TeamName& name) -> const Team* {
  const auto found = std::find_if(document.teams.begin(), document.teams.end(),
                                  [&](const Team& team) { return team.name == name; });
  return found == document.teams.end() ? nullptr : &*found;
}

auto RetryAfter(Duration wait) -> std::chrono::milliseconds {
  // Without a share there is no end to compute; shares come back within seconds.
  if (wait == Duration::max()) return kRetryWithoutShare;
  if (wait > kLongestRetryAfter) return kLongestRetryAfter;
  return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

}  // namespace

auto Executor::Work::Run() -> void {
  for (auto& action : actions) action();
}

Executor::Executor(WorkerPool& workers, HttpClient& client, MetricsRegistry& metrics,
                   const PublishedConfiguration& configuration, NodeIdentity identity,
                   ShareSource share, std::uint64_t seed)
    : workers_(workers),
      client_(client),
      metrics_(metrics),
      configuration_(configuration),
      identity_(std::move(identity)),
      share_(std::move(share)),
      random_(seed),
      queue_(kQueueCapacity),
      limiter_(RequestsPerSecond(0), kShareBurst, clock_.Now()) {}

Executor::~Executor() = default;

auto Executor::Start() -> void {
  timer_ = workers_.RunEvery(kTickInterval, [this] { OnTick(); });
}

auto Executor::Execute(RoutedRequest request, ForwardCallback callback) -> void {
  const auto share = share_(clock_.Now());
  Work work;
  {
    const std::lock_guard lock(mutex_);
    Admit(request, callback, share, work);
  }
  work.Run();
}

auto Executor::Refuse(const ForwardCallback& callback, const Refusal& refusal, MonotonicTime now,
                      Work& work) -> void {
  auto response = RefusedResponse(refusal);
  response.load = LoadLocked(now);
  work.actions.push_back([callback, response = std::move(response)] { callback(response); });
}

auto Executor::Admit(RoutedRequest& request, ForwardCallback& callback, RequestsPerSecond share,
                     Work& work) -> void {
  const auto now = clock_.Now();
  demand_.OnArrival(now);
  const auto configuration = configuration_.Current();
  const auto* table =
      configuration ? configuration->view->FindService(request.service.value()) : nullptr;
  if (table == nullptr) {
    return Refuse(callback, {Verdict::kNotRun, Reason::kUnknownService, {}}, now, work);
  }
  const auto& service = *table->service;
  if (now + service.expected_time > request.deadline) {
    return Refuse(callback, {Verdict::kNotRun, Reason::kDeadline, {}}, now, work);
  }
  auto acquired = pool_.Acquire(request.service, now, random_);
  if (auto* reason = std::get_if<Reason>(&acquired); reason != nullptr) {
    if (*reason != Reason::kTargetBusy) {
      return Refuse(callback, {Verdict::kNotRun, *reason, {}}, now, work);
    }
  }
  limiter_.SetRate(share, now);
  if (!limiter_.TryTake(now)) {
    if (auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
      pool_.Release(*slot, {TargetOutcome::kCancelled, {}}, now);
    }
    const auto wait = RetryAfter(limiter_.TimeToNextToken(now));
    return Refuse(callback, {Verdict::kNotRun, Reason::kRegionCap, wait}, now, work);
  }
  if (auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
    return Dispatch(std::move(*slot), std::move(request), std::move(callback), work);
  }
  Enqueue(std::move(request), std::move(callback), service,
          FindTeam(*configuration->document, service.team), now, work);
}

auto Executor::Enqueue(RoutedRequest request, ForwardCallback callback, const Service& service,
                       const Team* team, MonotonicTime now, Work& work) -> void {
  WaitingRequest waiting;
  waiting.id = next_id_++;
  waiting.service = service.name;
  waiting.team = service.team;
  waiting.value = service.value;
  waiting.team_weight = team == nullptr ? 1 : team->weight;
  waiting.deadline = request.deadline;
  const auto slots = static_cast<int>(pool_.Load(service.name, now).usable_slots);
  const auto time = pool_.Latency(service.name).value_or(service.expected_time);
  const auto result = queue_.Offer(waiting, {std::max(1, slots), time}, now);
  if (result.displaced.has_value()) {
    auto displaced = waiting_.extract(result.displaced->id);
    if (!displaced.empty()) {
      Refuse(displaced.mapped().callback, result.displaced->refusal, now, work);
    }
  }
  if (result.refusal.has_value()) return Refuse(callback, *result.refusal, now, work);
  waiting_.emplace(waiting.id, Waiting{std::move(request), std::move(callback)});
}

auto Executor::Dispatch(TargetSlot slot, RoutedRequest request, ForwardCallback callback,
                        Work& work) -> void {
  work.actions.push_back([this, slot = std::move(slot), request = std::move(request),
                          callback = std::move(callback)]() mutable {
    const auto now = clock_.Now();
    const auto endpoint = slot.target->endpoint;
    client_.Send(endpoint, TargetRequest(request, now), request.deadline - now,
                 [this, slot = std::move(slot), callback = std::move(callback), now](
                     HttpResult result) { OnExchangeEnd(slot, callback, now, std::move(result)); });
  });
}

auto Executor::OnExchangeEnd(const TargetSlot& slot, const ForwardCallback& callback,
                             MonotonicTime sent, HttpResult result) -> void {
  auto verdict = JudgeExchange(std::move(result));
  const auto now = clock_.Now();
  const auto latency = now - sent;
  verdict.response.target_time_us = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
  Work work;
  {
    const std::lock_guard lock(mutex_);
    pool_.Release(slot, {verdict.outcome, latency}, now);
    if (verdict.outcome == TargetOutcome::kAnswered) measured_ = now;
    DrainQueue(now, work);
    verdict.response.load = LoadLocked(now);
  }
  metrics_.Observe(Metric::kTargetSeconds, {{"service", slot.service.value()}}, latency);
  callback(std::move(verdict.response));
  work.Run();
}

auto Executor::DrainQueue(MonotonicTime now, Work& work) -> void {
  const auto can_run = [&](const ServiceName& service) {
    const auto load = pool_.Load(service, now);
    return load.used_slots < load.usable_slots;
  };
  while (const auto next = queue_.TakeNext(can_run, now)) {
    auto waiting = waiting_.extract(next->id);
    if (waiting.empty()) continue;
    auto acquired = pool_.Acquire(next->service, now, random_);
    if (auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
      Dispatch(std::move(*slot), std::move(waiting.mapped().request),
               std::move(waiting.mapped().callback), work);
      continue;
    }
    Refuse(waiting.mapped().callback, {Verdict::kNotRun, std::get<Reason>(acquired), {}}, now,
           work);
  }
}

auto Executor::OnTick() -> void {
  const auto now = clock_.Now();
  Work work;
  std::vector<std::shared_ptr<const Target>> probes;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& expired : queue_.TakeExpired(now)) {
      auto waiting = waiting_.extract(expired.id);
      if (waiting.empty()) continue;
      Refuse(waiting.mapped().callback, {Verdict::kNotRun, Reason::kDeadline, {}}, now, work);
    }
    DrainQueue(now, work);
    probes = pool_.ProbeCandidates(now);
  }
  work.Run();
  for (const auto& target : probes) Probe(target);
}

auto Executor::Probe(const std::shared_ptr<const Target>& target) -> void {
  HttpRequest request;
  request.target = "/-/health";
  client_.Send(target->endpoint, std::move(request), kProbeTimeout,
               [this, target](const HttpResult& result) {
                 const bool healthy = result.status.ok() && result.response.status == 200;
                 {
                   const std::lock_guard lock(mutex_);
                   const auto now = clock_.Now();
                   pool_.OnProbe(target->name, healthy, now);
                   if (healthy) measured_ = now;
                 }
                 if (healthy) AskForReport(target);
               });
}

auto Executor::AskForReport(const std::shared_ptr<const Target>& target) -> void {
  HttpRequest request;
  request.target = "/-/load";
  client_.Send(target->endpoint, std::move(request), kProbeTimeout,
               [this, target](const HttpResult& result) {
                 if (!result.status.ok()) return;
                 const auto report = ReadTargetReport(target->name, result.response.body);
                 if (!report.ok()) {
                   metrics_.Increment(Metric::kRejectedInput,
                                      {{"listener", "target"}, {"cause", "malformed-report"}});
                   return;
                 }
                 const std::lock_guard lock(mutex_);
                 pool_.OnReport(*report, clock_.Now());
               });
}

auto Executor::Configure(const std::vector<OwnedTargets>& services) -> void {
  const std::lock_guard lock(mutex_);
  pool_.Configure(services);
  services_.clear();
  for (const auto& service : services) services_.push_back(service.service);
}

auto Executor::SetDraining(const TargetName& target, bool draining) -> void {
  const std::lock_guard lock(mutex_);
  pool_.SetDraining(target, draining);
}

auto Executor::Demand(MonotonicTime now) const -> RequestsPerSecond {
  const std::lock_guard lock(mutex_);
  return demand_.Rate(now);
}

auto Executor::LoadLocked(MonotonicTime now) const -> NodeLoad {
  NodeLoad load;
  load.zone = identity_.zone;
  load.instance = identity_.instance;
  for (const auto& service : services_) {
    auto entry = pool_.Load(service, now);
    entry.service = service;
    entry.queued = static_cast<std::uint32_t>(queue_.Queued(service));
    load.services.push_back(std::move(entry));
  }
  const double rate = limiter_.rate().value();
  const double used = rate <= 0 ? 1 : demand_.Rate(now).value() / rate;
  load.share_used_percent = static_cast<std::uint32_t>(100 * std::clamp(used, 0.0, 10.0));
  return load;
}

auto Executor::Load(MonotonicTime now) const -> NodeLoad {
  const std::lock_guard lock(mutex_);
  return LoadLocked(now);
}

auto Executor::MeasurementAgeSeconds(MonotonicTime now) const -> double {
  const std::lock_guard lock(mutex_);
  if (!measured_.has_value()) return -1;
  return std::chrono::duration<double>(now - *measured_).count();
}

auto Executor::active_requests() const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return waiting_.size() + static_cast<std::size_t>(pool_.InFlight());
}

}  // namespace heatherspan
