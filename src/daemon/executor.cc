#include "daemon/executor.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "base/number_text.h"
#include "daemon/forward_results.h"
#include "daemon/header_names.h"
#include "daemon/target_exchange.h"
#include "daemon/target_report_reader.h"
#include "fmt/format.h"
#include "net/http_client.h"
#include "observe/metrics_registry.h"

namespace heatherspan {
namespace {

// Two seconds of processing for the 24 slots of a zone at 20 ms per request would be 2,400
// requests. A caller does not wait that long.
constexpr std::size_t kQueueCapacity = 512;
// The burst is small because the bursts of all nodes add up above the rate of the cap.
constexpr double kTokenBucketBurst = 4;
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kRetryAfterWithoutShare = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kMaxRetryAfter = std::chrono::seconds(10);

auto FindTeam(const Document& document, const TeamName& name) -> const Team* {
  const auto found = std::find_if(document.teams.begin(), document.teams.end(),
                                  [&](const Team& team) { return team.name == name; });
  return found == document.teams.end() ? nullptr : &*found;
}

auto RetryAfter(Duration wait) -> std::chrono::milliseconds {
  // Without a share, the wait has no computable end. Shares return within seconds.
  if (wait == Duration::max()) return kRetryAfterWithoutShare;
  if (wait > kMaxRetryAfter) return kMaxRetryAfter;
  return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

}  // namespace

auto Executor::DeferredCalls::Run() -> void {
  for (auto& call : calls) call();
}

Executor::Executor(WorkerPool& workers, HttpClient& client, MetricsRegistry& metrics,
                   const PublishedConfiguration& configuration, NodeIdentity identity,
                   ShareSource share, std::uint64_t seed)
    : workers_(workers),
      client_(client),
      metrics_(metrics),
      configuration_(configuration),
      identity_(std::move(identity)),
      share_source_(std::move(share)),
      random_(seed),
      queue_(kQueueCapacity),
      limiter_(RequestsPerSecond(0), kTokenBucketBurst, clock_.Now()) {}

Executor::~Executor() = default;

auto Executor::Start() -> void {
  timer_ = workers_.RunEvery(kTickInterval, [this] { OnTick(); });
}

auto Executor::Execute(RoutedRequest request, ForwardCallback callback) -> void {
  const auto share = share_source_(clock_.Now());
  DeferredCalls deferred;
  {
    const std::lock_guard lock(mutex_);
    Admit(request, callback, share, deferred);
  }
  deferred.Run();
}

auto Executor::Refuse(const ForwardCallback& callback, const Refusal& refusal, MonotonicTime now,
                      DeferredCalls& deferred) -> void {
  auto response = RefusalForwardResponse(refusal);
  response.load = LoadLocked(now);
  deferred.calls.push_back([callback, response = std::move(response)] { callback(response); });
}

auto Executor::Admit(RoutedRequest& request, ForwardCallback& callback, RequestsPerSecond share,
                     DeferredCalls& deferred) -> void {
  const auto now = clock_.Now();
  demand_.OnArrival(now);
  const auto configuration = configuration_.Current();
  const auto* table =
      configuration ? configuration->view->FindService(request.service.value()) : nullptr;
  if (table == nullptr) {
    return Refuse(callback, {Verdict::kNotRun, Reason::kUnknownService, {}}, now, deferred);
  }
  const auto& service = *table->service;
  if (now + service.expected_time > request.deadline) {
    return Refuse(callback, {Verdict::kNotRun, Reason::kDeadline, {}}, now, deferred);
  }
  auto acquired = pool_.Acquire(request.service, now, random_);
  if (auto* reason = std::get_if<Reason>(&acquired); reason != nullptr) {
    if (*reason != Reason::kTargetBusy) {
      return Refuse(callback, {Verdict::kNotRun, *reason, {}}, now, deferred);
    }
  }
  limiter_.SetRate(share, now);
  if (!limiter_.TryTake(now)) {
    if (auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
      pool_.Release(*slot, {TargetOutcome::kCancelled, {}}, now);
    }
    const auto wait = RetryAfter(limiter_.TimeToNextToken(now));
    return Refuse(callback, {Verdict::kNotRun, Reason::kRegionCap, wait}, now, deferred);
  }
  if (auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
    return Dispatch(std::move(*slot), std::move(request), std::move(callback), deferred);
  }
  Enqueue(std::move(request), std::move(callback), service,
          FindTeam(*configuration->document, service.team), now, deferred);
}

auto Executor::Enqueue(RoutedRequest request, ForwardCallback callback, const Service& service,
                       const Team* team, MonotonicTime now, DeferredCalls& deferred) -> void {
  WaitingRequest waiting;
  waiting.id = next_queue_id_++;
  waiting.service = service.name;
  waiting.team = service.team;
  waiting.value = service.value;
  waiting.team_weight = team == nullptr ? 1 : team->weight;
  waiting.deadline = request.deadline;
  const auto slots = static_cast<int>(pool_.Load(service.name, now).usable_slots);
  const auto time = pool_.Latency(service.name).value_or(service.expected_time);
  const auto result = queue_.Offer(waiting, {std::max(1, slots), time}, now);
  if (result.displaced.has_value()) {
    auto displaced = queued_requests_.extract(result.displaced->id);
    if (!displaced.empty()) {
      Refuse(displaced.mapped().callback, result.displaced->refusal, now, deferred);
    }
  }
  if (result.refusal.has_value()) return Refuse(callback, *result.refusal, now, deferred);
  queued_requests_.emplace(waiting.id, QueuedRequest{std::move(request), std::move(callback)});
}

auto Executor::Dispatch(TargetSlot slot, RoutedRequest request, ForwardCallback callback,
                        DeferredCalls& deferred) -> void {
  deferred.calls.push_back([this, slot = std::move(slot), request = std::move(request),
                            callback = std::move(callback)]() mutable {
    const auto now = clock_.Now();
    const auto endpoint = slot.target->endpoint;
    client_.Send(endpoint, MakeTargetRequest(request, now), request.deadline - now,
                 [this, slot = std::move(slot), callback = std::move(callback), now](
                     HttpResult result) { OnExchangeEnd(slot, callback, now, std::move(result)); });
  });
}

auto Executor::OnExchangeEnd(const TargetSlot& slot, const ForwardCallback& callback,
                             MonotonicTime sent, HttpResult result) -> void {
  auto exchange = InterpretExchange(std::move(result));
  const auto now = clock_.Now();
  const auto latency = now - sent;
  exchange.response.target_time_us = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
  DeferredCalls deferred;
  {
    const std::lock_guard lock(mutex_);
    pool_.Release(slot, {exchange.outcome, latency}, now);
    if (exchange.outcome == TargetOutcome::kAnswered) last_answer_time_ = now;
    DispatchQueued(now, deferred);
    exchange.response.load = LoadLocked(now);
  }
  metrics_.Observe(Metric::kTargetSeconds, {{"service", slot.service.value()}}, latency);
  callback(std::move(exchange.response));
  deferred.Run();
}

auto Executor::DispatchQueued(MonotonicTime now, DeferredCalls& deferred) -> void {
  const auto can_run = [&](const ServiceName& service) {
    const auto load = pool_.Load(service, now);
    return load.used_slots < load.usable_slots;
  };
  while (const auto next = queue_.TakeNext(can_run, now)) {
    auto waiting = queued_requests_.extract(next->id);
    if (waiting.empty()) continue;
    auto acquired = pool_.Acquire(next->service, now, random_);
    if (auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
      Dispatch(std::move(*slot), std::move(waiting.mapped().request),
               std::move(waiting.mapped().callback), deferred);
      continue;
    }
    Refuse(waiting.mapped().callback, {Verdict::kNotRun, std::get<Reason>(acquired), {}}, now,
           deferred);
  }
}

auto Executor::OnTick() -> void {
  const auto now = clock_.Now();
  DeferredCalls deferred;
  std::vector<std::shared_ptr<const Target>> probes;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& expired : queue_.TakeExpired(now)) {
      auto waiting = queued_requests_.extract(expired.id);
      if (waiting.empty()) continue;
      Refuse(waiting.mapped().callback, {Verdict::kNotRun, Reason::kDeadline, {}}, now, deferred);
    }
    DispatchQueued(now, deferred);
    probes = pool_.ProbeCandidates(now);
  }
  deferred.Run();
  for (const auto& target : probes) Probe(target);
}

auto Executor::OwnRequest(std::string path) -> HttpRequest {
  HttpRequest request;
  request.target = std::move(path);
  request.headers.push_back(
      {std::string(kRequestIdHeader), fmt::format("probe-{}", own_requests_.fetch_add(1))});
  return request;
}

auto Executor::Probe(const std::shared_ptr<const Target>& target) -> void {
  client_.Send(target->endpoint, OwnRequest("/-/health"), kProbeTimeout,
               [this, target](const HttpResult& result) {
                 const bool healthy = result.status.ok() && result.response.status == 200;
                 {
                   const std::lock_guard lock(mutex_);
                   const auto now = clock_.Now();
                   pool_.OnProbe(target->name, healthy, now);
                   if (healthy) last_answer_time_ = now;
                 }
                 if (healthy) FetchLoadReport(target);
               });
}

auto Executor::FetchLoadReport(const std::shared_ptr<const Target>& target) -> void {
  client_.Send(target->endpoint, OwnRequest("/-/load"), kProbeTimeout,
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

auto Executor::LastAnswerAgeSeconds(MonotonicTime now) const -> double {
  const std::lock_guard lock(mutex_);
  if (!last_answer_time_.has_value()) return -1;
  return std::chrono::duration<double>(now - *last_answer_time_).count();
}

auto Executor::active_requests() const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return queued_requests_.size() + static_cast<std::size_t>(pool_.InFlight());
}

}  // namespace heatherspan
