#include "daemon/request_router.h"

#include <chrono>
#include <mutex>
#include <utility>
#include <variant>
#include <vector>

#include "daemon/executor.h"
#include "daemon/forward_results.h"
#include "daemon/peer_calls.h"
#include "net/peer_client.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {
namespace {

constexpr int kMaxAttempts = 3;

auto ZoneOutcomeOf(const ForwardResponse& response) -> ZoneOutcome {
  switch (response.verdict) {
    case Verdict::kRan:
      return ZoneOutcome::kAnswered;
    case Verdict::kNotRun:
      return response.reason == Reason::kPeerUnreachable ? ZoneOutcome::kFailed
                                                         : ZoneOutcome::kRefused;
    case Verdict::kMayHaveRun:
      return ZoneOutcome::kFailed;
  }
  return ZoneOutcome::kFailed;
}

auto RetryAfterOf(const ForwardResponse& response) -> std::optional<Duration> {
  if (response.retry_after_ms == 0) return std::nullopt;
  return std::chrono::milliseconds(response.retry_after_ms);
}

}  // namespace

/// The state of one request over all its attempts. Only one attempt runs at a time, so only the
/// timer of the backoff between two attempts needs a lock.
class RequestRouter::PendingRequest {
 public:
  PendingRequest(RoutedRequest routed, ForwardCallback done)
      : request(std::move(routed)), callback(std::move(done)) {}

  RoutedRequest request;
  ForwardCallback callback;
  AttemptHistory history;
  int attempts = 0;
  /// Set if an attempt may have run. Later responses then never have the verdict "not run".
  bool may_have_run = false;
  std::optional<ForwardResponse> last_response;

  std::mutex backoff_mutex;  ///< Leaf lock: no other lock is acquired while it is held.
  std::shared_ptr<WorkerPool::Timer> backoff_timer;

  /// Releases the timer, whose task holds a reference to this request.
  auto ReleaseBackoffTimer() -> void {
    const std::lock_guard lock(backoff_mutex);
    backoff_timer.reset();
  }
};

RequestRouter::RequestRouter(WorkerPool& workers, PeerClient& peers, Executor& executor,
                             SteeringState& steering, const PublishedConfiguration& configuration,
                             MetricsRegistry& metrics, EventLog& log, NodeIdentity identity)
    : workers_(workers),
      peers_(peers),
      executor_(executor),
      steering_(steering),
      configuration_(configuration),
      metrics_(metrics),
      log_(log),
      identity_(std::move(identity)) {}

auto RequestRouter::Route(RoutedRequest request, ForwardCallback callback) -> void {
  steering_.OnRequest(request.service, request.client_region, clock_.Now());
  StartAttempt(std::make_shared<PendingRequest>(std::move(request), std::move(callback)));
}

auto RequestRouter::StartAttempt(const std::shared_ptr<PendingRequest>& pending) -> void {
  const auto now = clock_.Now();
  const auto configuration = configuration_.Current();
  if (configuration->view->FindService(pending->request.service.value()) == nullptr) {
    return RetryOrFinish(pending,
                         RefusalForwardResponse(Verdict::kNotRun, Reason::kUnknownService));
  }
  if (now >= pending->request.deadline || now > pending->request.send_deadline.value_or(now)) {
    return RetryOrFinish(pending, RefusalForwardResponse(Verdict::kNotRun, Reason::kDeadline));
  }
  auto plan = steering_.PlanAttempt(*configuration, pending->request.service,
                                    pending->request.client_region, pending->history, now);
  if (const auto* refusal = std::get_if<Refusal>(&plan); refusal != nullptr) {
    // If every zone has been attempted, the last response is more specific than kNoZone.
    const bool use_last = pending->last_response.has_value() && refusal->reason == Reason::kNoZone;
    auto response = use_last ? *pending->last_response : RefusalForwardResponse(*refusal);
    if (pending->may_have_run) response.verdict = Verdict::kMayHaveRun;
    return pending->callback(std::move(response));
  }
  ++pending->attempts;
  SendAttempt(pending, std::get<AttemptPlan>(plan));
}

auto RequestRouter::SendAttempt(const std::shared_ptr<PendingRequest>& pending,
                                const AttemptPlan& plan) -> void {
  const auto started = clock_.Now();
  auto on_end = [this, pending, plan, started](ForwardResponse response) {
    OnAttemptEnd(pending, plan, started, std::move(response));
  };
  if (plan.executing_node.instance == identity_.instance) {
    executor_.Execute(pending->request, std::move(on_end));
    return;
  }
  auto message = MakeForwardRequest(pending->request, started);
  message.zone = plan.zone;
  peers_.Call(plan.executing_node.peer_endpoint, plan.executing_node.instance, std::move(message),
              pending->request.deadline - started, [on_end = std::move(on_end)](PeerResult result) {
                on_end(InterpretForwardResult(std::move(result)));
              });
}

auto RequestRouter::OnAttemptEnd(const std::shared_ptr<PendingRequest>& pending,
                                 const AttemptPlan& plan, MonotonicTime started,
                                 ForwardResponse response) -> void {
  const auto now = clock_.Now();
  const auto& service = pending->request.service;
  if (!response.load.zone.empty()) steering_.OnLoadReport(response.load, now);
  steering_.OnAttemptEnd(plan, service, ZoneOutcomeOf(response), RetryAfterOf(response),
                         Bytes(static_cast<std::int64_t>(response.body.size())), now);
  metrics_.Observe(Metric::kForwardSeconds, {{"service", service.value()}}, now - started);
  RetryOrFinish(pending, std::move(response));
}

auto RequestRouter::RetryOrFinish(const std::shared_ptr<PendingRequest>& pending,
                                  ForwardResponse response) -> void {
  pending->may_have_run = pending->may_have_run || response.verdict == Verdict::kMayHaveRun;
  if (pending->may_have_run && response.verdict == Verdict::kNotRun) {
    response.verdict = Verdict::kMayHaveRun;
  }
  if (!IsRetryable(response, pending->request.idempotent) || pending->attempts >= kMaxAttempts) {
    return pending->callback(std::move(response));
  }
  const auto backoff = steering_.TryRetry(pending->attempts);
  if (!backoff.has_value() || clock_.Now() + *backoff >= pending->request.deadline) {
    metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(Reason::kRetryBudget)},
                                           {"verdict", VerdictText(response.verdict)}});
    return pending->callback(std::move(response));
  }
  metrics_.Increment(Metric::kRetries, {{"reason", ReasonText(response.reason)}});
  log_.Write(LogLevel::kDebug, "retry",
             {{"request_id", pending->request.id.value()},
              {"reason", ReasonText(response.reason)},
              {"attempt", pending->attempts}});
  pending->last_response = std::move(response);
  // The lock keeps the task from releasing the timer before it is stored.
  const std::lock_guard lock(pending->backoff_mutex);
  pending->backoff_timer = workers_.RunAfter(*backoff, [this, pending] {
    pending->ReleaseBackoffTimer();
    StartAttempt(pending);
  });
}

}  // namespace heatherspan
