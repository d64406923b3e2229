#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "base/reason.h"
#include "base/verdict.h"
#include "edge/platform_ports.h"
#include "gateway/gateway_core.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Carries callers' requests to targets as the core decides. All calls are made on one worker.
template <MessageFormat Format>
class RequestCarrier {
 public:
  /// The part of the stop grace in which new requests are still served.
  static constexpr double kServingPartOfGrace = 0.4;
  /// Part of the stop grace by which requests that are accepted must be expected to end.
  static constexpr double kUsablePartOfGrace = 0.9;
  /// An idle connection that a target may have dropped must not take a request that can't be
  /// repeated; the shortest idle time that the deployments state is several times this.
  static constexpr Duration kMaxIdleForOnce = std::chrono::milliseconds(1500);
  /// Callers are told to come back after this while no configuration is known.
  static constexpr Duration kRetryWithoutPolicy = std::chrono::milliseconds(500);
  /// Another entry VM takes the request at once.
  static constexpr Duration kRetryElsewhere = std::chrono::milliseconds(50);
  /// The client's own timeout must not come before that of the request.
  static constexpr Duration kClientMargin = std::chrono::milliseconds(100);

  RequestCarrier(GatewayCore& core, HttpClient& client, WorkerPool& workers, EventLog& log,
                 MetricsRegistry& metrics)
      : core_(core), client_(client), workers_(workers), log_(log), metrics_(metrics) {}

  auto Carry(HttpRequest request, HttpServer::Responder respond) -> void {
    const auto now = Now();
    auto fields = Format::ReadCaller(request);
    const RequestId id = fields.id;
    if (core_.policy() == nullptr) {
      Reject(id, Format::Refused(kRetryWithoutPolicy), Reason::kNoConfiguration, respond);
      return;
    }
    const auto* route = core_.routes().Find(fields.host, request.target);
    if (route == nullptr) {
      Reject(id, Format::NoRoute(), Reason::kUnknownRoute, respond);
      return;
    }
    auto active =
        std::make_shared<Active>(core_.Admit(id, *route, fields.object, fields.caller_timeout, now),
                                 std::move(request), std::move(respond));
    if (active->request.disconnect != nullptr) {
      active->request.disconnect->on_disconnect = [this, weak = std::weak_ptr(active)] {
        if (const auto held = weak.lock()) OnCallerGone(held);
      };
    }
    active_.insert(active);
    active->give_up =
        workers_.RunAfter(active->life.deadline() - now, [this, weak = std::weak_ptr(active)] {
          if (const auto held = weak.lock()) OnGiveUp(held);
        });
    Place(active);
  }

  /// The process is going to be killed at the end of the grace.
  auto BeginStop(Duration grace) -> void {
    const auto now = Now();
    serve_until_ = now + Scale(grace, kServingPartOfGrace);
    end_by_ = now + Scale(grace, kUsablePartOfGrace);
  }

  /// The process ends now: what is still under way gets its final answer.
  auto EndAll() -> void {
    const auto remaining = std::vector<ActivePtr>(active_.begin(), active_.end());
    for (const auto& active : remaining) {
      const auto step = active->life.OnDeadline();
      Abandon(active);
      Conclude(active, step, Reason::kLeaving, kRetryElsewhere, HttpResponse());
    }
  }

  auto active() const -> std::size_t { return active_.size(); }

 private:
  struct Active {
    Active(ForwardedRequest carried, HttpRequest original, HttpServer::Responder responder)
        : life(std::move(carried)), request(std::move(original)), respond(std::move(responder)) {}

    ForwardedRequest life;
    HttpRequest request;
    HttpServer::Responder respond;
    std::optional<Attempt> attempt;
    std::shared_ptr<HttpClient::Exchange> exchange;
    std::shared_ptr<WorkerPool::Timer> give_up;
    HttpResponse last_response;  ///< A failure that is passed on if no repeat succeeds.
    Duration expected_wait{};    ///< Of the last attempt, or of the one that came too late.
    Duration expected_work{};
    bool finished = false;
  };
  using ActivePtr = std::shared_ptr<Active>;

  static auto Now() -> MonotonicTime { return SystemClock().Now(); }

  static auto Scale(Duration duration, double factor) -> Duration {
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
  }

  static auto Milliseconds(Duration duration) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  }

  auto Reject(const RequestId& id, HttpResponse response, Reason reason,
              const HttpServer::Responder& respond) -> void {
    metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(reason)},
                                           {"verdict", VerdictText(Verdict::kNotRun)}});
    log_.Write(LogLevel::kWarning, "request",
               {{"id", id.value()},
                {"outcome", "rejected"},
                {"status", response.status},
                {"reason", ReasonText(reason)},
                {"verdict", VerdictText(Verdict::kNotRun)},
                {"config", ConfigVersionNumber()}});
    respond(std::move(response));
  }

  auto ConfigVersionNumber() const -> std::uint64_t {
    return core_.policy() == nullptr ? 0 : core_.policy()->version.value();
  }

  auto Place(const ActivePtr& active) -> void {
    const auto now = Now();
    auto& life = active->life;
    const auto result = core_.Place(life, now);
    if (!result.placement.has_value()) {
      if (result.late_placement.has_value()) {
        active->expected_wait = result.late_placement->queue_wait;
        active->expected_work = result.late_placement->processing_time;
      }
      const auto reason =
          result.failure == PlacementFailure::kNoTarget ? Reason::kNoTarget : Reason::kOverload;
      Conclude(active, life.OnNoTarget(), reason, result.retry_after, HttpResponse());
      return;
    }
    if (now >= serve_until_ || now + result.placement->max_completion_time() > end_by_) {
      Conclude(active, life.OnNoTarget(), Reason::kLeaving, kRetryElsewhere, HttpResponse());
      return;
    }
    Send(active, *result.placement, now);
  }

  auto Send(const ActivePtr& active, const Placement& placement, MonotonicTime now) -> void {
    const auto& entry = placement.target->entry();
    const auto endpoint = entry.endpoint;
    const auto time_left = active->life.deadline() - now;
    auto request = Format::ForTarget(active->request, entry, time_left);
    active->attempt = core_.BeginAttempt(active->life, placement, now);
    active->expected_wait = placement.queue_wait;
    active->expected_work = placement.processing_time;
    HttpClient::SendOptions options;
    if (active->life.attributes().route.retry_rule == RetryRule::kAtMostOnce) {
      options.max_idle = kMaxIdleForOnce;
    }
    active->exchange =
        client_.Send(endpoint, std::move(request), time_left + kClientMargin, options,
                     [this, active](HttpResult result) { OnResult(active, std::move(result)); });
  }

  auto OnResult(const ActivePtr& active, HttpResult result) -> void {
    if (active->finished) return;
    const auto now = Now();
    const auto reply = Format::ReadReply(result);
    const auto attempt = *std::exchange(active->attempt, std::nullopt);
    active->exchange.reset();
    const auto step = core_.EndAttempt(active->life, attempt, reply.end, reply.load, now);
    if (reply.end != AttemptOutcome::kSucceeded) {
      log_.Write(LogLevel::kInfo, "attempt",
                 {{"id", active->life.attributes().id.value()},
                  {"target", attempt.target.value()},
                  {"end", ReasonText(ReasonOf(reply.end))},
                  {"verdict", VerdictText(VerdictOf(reply.end))},
                  {"status", result.status.ok() ? result.response.status : 0},
                  {"error", std::string(result.status.message())},
                  {"next", step == RequestStep::kPlace ? "retry" : "answer"}});
    }
    if (step == RequestStep::kPlace) {
      metrics_.Increment(Metric::kRetries, {{"reason", ReasonText(ReasonOf(reply.end))}});
      active->last_response = std::move(result.response);
      Place(active);
      return;
    }
    Conclude(active, step, ReasonOf(reply.end), kRetryElsewhere, std::move(result.response));
  }

  auto OnGiveUp(const ActivePtr& active) -> void {
    if (active->finished) return;
    const auto step = active->life.OnDeadline();
    Abandon(active);
    Conclude(active, step, Reason::kTimeout, kRetryElsewhere, HttpResponse());
  }

  auto OnCallerGone(const ActivePtr& active) -> void {
    if (active->finished) return;
    Abandon(active);
    Finish(active, "caller-gone", 0, Reason::kCallerGone);
  }

  auto Abandon(const ActivePtr& active) -> void {
    if (!active->attempt.has_value()) return;
    core_.AbandonAttempt(active->life, *active->attempt, Now());
    active->attempt.reset();
    // Closing the connection tells the target to stop.
    if (active->exchange != nullptr) std::exchange(active->exchange, nullptr)->Cancel();
  }

  auto Conclude(const ActivePtr& active, RequestStep step, Reason reason, Duration retry_after,
                HttpResponse response) -> void {
    HttpResponse answer;
    const char* outcome = "served";
    switch (step) {
      case RequestStep::kDeliver:
        // After a repeat that found no target, the earlier failure is the answer.
        answer = Format::ForCaller(response.headers.empty() ? std::move(active->last_response)
                                                            : std::move(response));
        if (reason != Reason::kNone) outcome = "failed-at-target";
        break;
      case RequestStep::kRefuse:
        answer = Format::Refused(retry_after);
        outcome = "refused";
        break;
      case RequestStep::kExpire:
        answer = Format::Expired();
        outcome = "expired";
        break;
      case RequestStep::kFail:
      case RequestStep::kPlace:
        answer = Format::Failed();
        outcome = "failed";
        break;
    }
    const int status = answer.status;
    active->respond(std::move(answer));
    Finish(active, outcome, status, reason);
  }

  auto Finish(const ActivePtr& active, const char* outcome, int status, Reason reason) -> void {
    active->finished = true;
    active->give_up.reset();
    active_.erase(active);
    const auto& life = active->life;
    const auto& attributes = life.attributes();
    const auto took = Now() - attributes.arrived;
    metrics_.Increment(Metric::kRequests, {{"service", attributes.service.value()},
                                           {"verdict", VerdictText(life.verdict())}});
    if (reason != Reason::kNone) {
      metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(reason)},
                                             {"verdict", VerdictText(life.verdict())}});
    }
    metrics_.Observe(Metric::kRequestSeconds, {{"service", attributes.service.value()}}, took);
    const bool served = reason == Reason::kNone;
    log_.Write(served ? LogLevel::kInfo : LogLevel::kWarning, "request",
               {{"id", attributes.id.value()},
                {"route", attributes.route.name.value()},
                {"service", attributes.service.value()},
                {"object", attributes.object},
                {"target",
                 life.attempted_targets().empty() ? "" : life.attempted_targets().back().value()},
                {"attempts", life.attempts()},
                {"outcome", outcome},
                {"status", status},
                {"reason", ReasonText(reason)},
                {"verdict", VerdictText(life.verdict())},
                {"ms", Milliseconds(took)},
                {"expected_wait_ms", Milliseconds(active->expected_wait)},
                {"expected_work_ms", Milliseconds(active->expected_work)},
                {"patience_ms", Milliseconds(attributes.caller_timeout)},
                {"returning", attributes.resubmitted ? 1 : 0},
                {"config", ConfigVersionNumber()},
                {"store_revision", core_.store_revision()},
                {"store_age_ms", Milliseconds(core_.StoreAge(Now()))}});
  }

  GatewayCore& core_;
  HttpClient& client_;
  WorkerPool& workers_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  absl::flat_hash_set<ActivePtr> active_;
  MonotonicTime serve_until_ = MonotonicTime::max();
  MonotonicTime end_by_ = MonotonicTime::max();
};

}  // namespace heatherspan
