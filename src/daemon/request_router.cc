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

constexpr int kMostAttempts = 3;

auto OutcomeOf(const ForwardResponse& response) -> ZoneOutcome {
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

/// The state of one request between its attempts. One attempt runs at a time, so that only the
/// timer of the pause between two of them needs a lock.
class RequestRouter::Flow {
 public:
  Flow(RoutedRequest routed, ForwardCallback done)
      : request(std::move(routed)), callback(std::move(done)) {}

  RoutedRequest request;
  ForwardCallback callback;
  AttemptHistory history;
  int attempts = 0;
  /// An earlier attempt may have run; then no later refusal may say otherwise.
  bool may_have_run = false;
  std::optional<ForwardResponse> last;

  std::mutex backoff_mutex;  ///< A leaf: no other lock is taken while it is held.
  std::shared_ptr<WorkerPool::Timer> backoff;

  /// Releases the timer, whose task holds this flow.
  auto EndBackoff() -> void {
    const std::lock_guard lock(backoff_mutex);
    backoff.reset();
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
  steering_.OnRequest(request.service, request.home, clock_.Now());
  StartAttempt(std::make_shared<Flow>(std::move(request), std::move(callback)));
}

auto RequestRouter::StartAttempt(const std::shared_ptr<Flow>& flow) -> void {
  const auto now = clock_.Now();
  const auto configuration = configuration_.Current();
  if (configuration->view->FindService(flow->request.service.value()) == nullptr) {
    return RetryOrFinish(flow, RefusedResponse(Verdict::kNotRun, Reason::kUnknownService));
  }
  if (now >= flow->request.deadline || now > flow->request.send_by.value_or(now)) {
    return RetryOrFinish(flow, RefusedResponse(Verdict::kNotRun, Reason::kDeadline));
  }
  auto plan = steering_.PlanAttempt(*configuration, flow->request.service, flow->request.home,
                                    flow->history, now);
  if (const auto* refusal = std::get_if<Refusal>(&plan); refusal != nullptr) {
    // When every zone has been tried, the last one's answer says more than "no zone".
    const bool use_last = flow->last.has_value() && refusal->reason == Reason::kNoZone;
    auto response = use_last ? *flow->last : RefusedResponse(*refusal);
    if (flow->may_have_run) response.verdict = Verdict::kMayHaveRun;
    return flow->callback(std::move(response));
  }
  ++flow->attempts;
  SendAttempt(flow, std::get<AttemptPlan>(plan));
}

auto RequestRouter::SendAttempt(const std::shared_ptr<Flow>& flow, const AttemptPlan& plan)
    -> void {
  const auto started = clock_.Now();
  auto on_end = [this, flow, plan, started](ForwardResponse response) {
    OnAttemptEnd(flow, plan, started, std::move(response));
  };
  if (plan.executor.instance == identity_.instance) {
    executor_.Execute(flow->request, std::move(on_end));
    return;
  }
  auto message = ForwardMessage(flow->request, started);
  message.zone = plan.zone;
  peers_.Call(plan.executor.peer_endpoint, plan.executor.instance, std::move(message),
              flow->request.deadline - started, [on_end = std::move(on_end)](PeerResult result) {
                on_end(JudgeForward(std::move(result)));
              });
}

auto RequestRouter::OnAttemptEnd(const std::shared_ptr<Flow>& flow, const AttemptPlan& plan,
                                 MonotonicTime started, ForwardResponse response) -> void {
  const auto now = clock_.Now();
  const auto& service = flow->request.service;
  if (!response.load.zone.empty()) steering_.OnLoad(response.load, now);
  steering_.OnAttemptEnd(plan, service, OutcomeOf(response), RetryAfterOf(response),
                         Bytes(static_cast<std::int64_t>(response.body.size())), now);
  metrics_.Observe(Metric::kForwardSeconds, {{"service", service.value()}}, now - started);
  RetryOrFinish(flow, std::move(response));
}

auto RequestRouter::RetryOrFinish(const std::shared_ptr<Flow>& flow, ForwardResponse response)
    -> void {
  flow->may_have_run = flow->may_have_run || response.verdict == Verdict::kMayHaveRun;
  if (flow->may_have_run && response.verdict == Verdict::kNotRun) {
    response.verdict = Verdict::kMayHaveRun;
  }
  if (!IsRetryable(response, flow->request.idempotent) || flow->attempts >= kMostAttempts) {
    return flow->callback(std::move(response));
  }
  const auto pause = steering_.TryRetry(flow->attempts);
  if (!pause.has_value() || clock_.Now() + *pause >= flow->request.deadline) {
    metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(Reason::kRetryBudget)},
                                           {"verdict", VerdictText(response.verdict)}});
    return flow->callback(std::move(response));
  }
  metrics_.Increment(Metric::kRetries, {{"reason", ReasonText(response.reason)}});
  log_.Write(LogLevel::kDebug, "retry",
             {{"request_id", flow->request.id.value()},
              {"reason", ReasonText(response.reason)},
              {"attempt", flow->attempts}});
  flow->last = std::move(response);
  // The lock keeps the task from running before the timer is stored.
  const std::lock_guard lock(flow->backoff_mutex);
  flow->backoff = workers_.RunAfter(*pause, [this, flow] {
    flow->EndBackoff();
    StartAttempt(flow);
  });
}

}  // namespace heatherspan
