#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "base/endpoint.h"
#include "base/reason.h"
#include "base/verdict.h"
#include "edge/access_control.h"
#include "edge/attempt_log.h"
#include "edge/harm_monitor.h"
#include "edge/platform_ports.h"
#include "edge/request_log.h"
#include "edge/request_relay.h"
#include "edge/restricted_attempts.h"
#include "edge/target_notice_handler.h"
#include "edge/team_quota_gate.h"
#include "fmt/format.h"
#include "gateway/gateway_core.h"
#include "gateway/in_flight_rules.h"
#include "gateway/loop_lateness.h"
#include "gateway/relay_admission.h"
#include "gateway/relay_terms.h"
#include "gateway/stop_plan.h"
#include "gateway/team_access.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Forwards callers' requests to the targets that the core chooses. All calls are made on one
/// worker thread.
template <MessageFormat Format>
class RequestForwarder {
 public:
  /// A request that can't be retried must not go over an idle connection that the target may have
  /// closed. The shortest idle timeout of targets in the deployments is several times this value.
  static constexpr Duration kMaxIdleForAtMostOnce = std::chrono::milliseconds(1500);
  /// The Retry-After value while no configuration is known.
  static constexpr Duration kRetryAfterWithoutPolicy = std::chrono::milliseconds(500);
  /// Another entry VM can take the request at once.
  static constexpr Duration kRetryAfterOtherVm = std::chrono::milliseconds(50);
  /// An equal request is at a target, and shows soon whether it does harm.
  static constexpr Duration kRetryAfterSuspected = std::chrono::milliseconds(500);
  /// The timeout of the HTTP client must not expire before the deadline of the request.
  static constexpr Duration kClientTimeoutMargin = std::chrono::milliseconds(100);

  RequestForwarder(GatewayCore& core, HttpClient& client, WorkerPool& workers, EventLog& log,
                   MetricsRegistry& metrics, AccessControl& access, TeamQuotaGate& quotas,
                   HarmMonitor<Format>& harm, RequestRelay<Format>& relay,
                   const LoopLateness& lateness)
      : core_(core),
        client_(client),
        workers_(workers),
        log_(log),
        metrics_(metrics),
        access_(access),
        quotas_(quotas),
        harm_(harm),
        relay_(relay),
        lateness_(lateness),
        request_log_(core, log, metrics),
        attempt_log_(log, metrics),
        restricted_attempts_(core, access, metrics),
        notices_(core, log, metrics) {}

  auto Forward(HttpRequest request, HttpServer::Responder respond) -> void {
    Admit(std::move(request), std::move(respond), std::nullopt);
  }

  /// Serves a request that another entry VM passes on, and tells it what became of it.
  auto ForwardForPeer(HttpRequest request, const RelayTerms& terms, HttpServer::Responder respond)
      -> void {
    Admit(std::move(request), std::move(respond), terms);
  }

  /// Requests in flight keep their routes, but may not be repeated if the configuration that is now
  /// in force forbids it.
  auto OnPolicyApplied() -> void {
    for (const auto& active : active_) {
      const auto& request = active->request;
      const auto* route = core_.routes().Find(Format::ReadCaller(request).host, request.target);
      if (route != nullptr) active->forwarded.Restrict(route->retry_rule);
    }
  }

  /// While this VM is behind with its requests, callers are sent to another one.
  auto SetBehind(bool behind) -> void { behind_ = behind; }

  /// Begins a stop. The process will be killed at the end of the grace.
  auto BeginStop(Duration grace) -> void {
    const auto now = Now();
    const auto plan = StopPlan::For(grace);
    serve_until_ = now + plan.serve;
    complete_by_ = now + plan.complete;
  }

  /// Gives all requests in flight their final answer, because the process ends now.
  auto AnswerAll() -> void {
    const auto remaining = std::vector<ActivePtr>(active_.begin(), active_.end());
    for (const auto& active : remaining) {
      const auto step = active->forwarded.OnDeadline();
      Abandon(active);
      Conclude(active, step, Reason::kLeaving, kRetryAfterOtherVm, std::nullopt);
    }
  }

  auto active() const -> std::size_t { return active_.size(); }

 private:
  struct Active {
    Active(ForwardedRequest forwarded_request, HttpRequest original,
           HttpServer::Responder responder)
        : forwarded(std::move(forwarded_request)),
          request(std::move(original)),
          respond(std::move(responder)) {}

    ForwardedRequest forwarded;
    HttpRequest request;
    HttpServer::Responder respond;
    std::optional<RequestDigest> digest;  ///< Empty as long as it is not needed.
    std::optional<Attempt> attempt;
    std::shared_ptr<HttpClient::Exchange> exchange;
    std::shared_ptr<WorkerPool::Timer> deadline_timer;
    std::optional<HttpResponse> last_response;  ///< A failure, delivered if no retry succeeds.
    Duration expected_queue_wait{};             ///< Of the last attempt, or of the late placement.
    Duration expected_processing_time{};
    std::vector<Endpoint> endpoints;       ///< Of the targets that have got the request.
    std::optional<TeamName> team;          ///< That the request is served for.
    std::optional<TeamQuotaRuling> quota;  ///< By which the request was taken from the quota.
    std::string through;                   ///< The entry VM that has got the request for this one.
    std::string refused_by;                ///< The entry VM whose refusal is delivered.
    bool for_peer = false;                 ///< Another entry VM has passed the request on.
    bool finished = false;
  };
  using ActivePtr = std::shared_ptr<Active>;
  using CallerFields = typename Format::CallerFields;

  static auto Now() -> MonotonicTime { return SystemClock().Now(); }

  /// `terms`: of the entry VM that passes the request on, if one does.
  auto Admit(HttpRequest request, HttpServer::Responder respond,
             const std::optional<RelayTerms>& terms) -> void {
    const auto now = Now();
    const bool for_peer = terms.has_value();
    auto fields = Format::ReadCaller(request);
    const RequestId id = fields.id;
    if (core_.policy() == nullptr) {
      RefuseUnadmitted(fields, request, Format::Refused(kRetryAfterWithoutPolicy),
                       Reason::kNoConfiguration, respond, for_peer);
      return;
    }
    if (behind_ && !for_peer && core_.entry_vms().Announced(now).size() > 1) {
      RefuseUnadmitted(fields, request, Format::Refused(kRetryAfterOtherVm), Reason::kOverload,
                       respond, for_peer);
      return;
    }
    const auto* route = core_.routes().Find(fields.host, request.target);
    if (route == nullptr) {
      RefuseUnadmitted(fields, request, Format::NoRoute(), Reason::kUnknownRoute, respond,
                       for_peer);
      return;
    }
    auto access = access_.Rule(*route, fields.access_key, now);
    if (access.outcome != TeamAccess::Outcome::kAllowed) {
      RefuseAccess(fields, request, access, respond, for_peer);
      return;
    }
    if (for_peer) {
      const auto ruling = RelayAdmission::Admit(*terms, core_.policy()->version, access.route);
      if (ruling != RelayAdmission::Outcome::kAllowed) {
        const bool is_older = ruling == RelayAdmission::Outcome::kOlderConfiguration;
        RefuseUnadmitted(fields, request, Format::Refused(kRetryAfterOtherVm),
                         is_older ? Reason::kStaleConfiguration : Reason::kNoTarget, respond, true);
        return;
      }
    }
    const auto unread = lateness_.MaxWait(now);
    auto forwarded =
        for_peer ? core_.AdmitPassedOn(id, access.route, fields.object, fields.caller_timeout,
                                       *terms, now, unread)
                 : core_.Admit(id, access.route, fields.object, fields.caller_timeout, now, unread);
    auto active =
        std::make_shared<Active>(std::move(forwarded), std::move(request), std::move(respond));
    active->team = std::move(access.team);
    active->for_peer = for_peer;
    if (active->request.disconnect != nullptr) {
      active->request.disconnect->on_disconnect = [this, weak = std::weak_ptr(active)] {
        if (const auto locked = weak.lock()) OnCallerDisconnected(locked);
      };
    }
    active_.insert(active);
    active->deadline_timer =
        workers_.RunAfter(active->forwarded.deadline() - now, [this, weak = std::weak_ptr(active)] {
          if (const auto locked = weak.lock()) OnDeadlineTimer(locked);
        });
    TakeFromQuota(active);
  }

  auto RefuseAccess(const CallerFields& fields, const HttpRequest& request,
                    const TeamAccess::Ruling& ruling, const HttpServer::Responder& respond,
                    bool for_peer) -> void {
    if (ruling.outcome == TeamAccess::Outcome::kUnknownKey) {
      RefuseUnadmitted(fields, request, Format::UnknownKey(), Reason::kUnknownAccessKey, respond,
                       for_peer);
      return;
    }
    const auto reason = ruling.outcome == TeamAccess::Outcome::kNoRegionLeft
                            ? Reason::kNoTarget
                            : Reason::kStaleConfiguration;
    if (!for_peer) request_log_.CountForTeam(ruling.team, reason);
    RefuseUnadmitted(fields, request, Format::Refused(kRetryAfterOtherVm), reason, respond,
                     for_peer);
  }

  /// The entry VM that passes a request on has taken it from the quota.
  auto TakeFromQuota(const ActivePtr& active) -> void {
    if (!active->team.has_value() || active->for_peer) {
      Place(active);
      return;
    }
    quotas_.Acquire(*active->team, [this, active](const TeamQuotaRuling& ruling) {
      if (ruling.admitted) active->quota = ruling;
      if (active->finished) {
        ReturnToQuota(*active);
      } else if (ruling.admitted) {
        Place(active);
      } else {
        Conclude(active, RequestStep::kLimit, Reason::kTeamLimit, ruling.retry_after, std::nullopt);
      }
    });
  }

  auto ReturnToQuota(Active& active) -> void {
    const auto ruling = std::exchange(active.quota, std::nullopt);
    if (!ruling.has_value() || active.forwarded.verdict() != Verdict::kNotRun) return;
    quotas_.GiveBack(*active.team, *ruling);
  }

  auto RefuseUnadmitted(const CallerFields& fields, const HttpRequest& request,
                        HttpResponse response, Reason reason, const HttpServer::Responder& respond,
                        bool for_peer) -> void {
    request_log_.OnUnadmitted(
        fields.id, {response.status, reason, fields.host, request.target, for_peer}, Now());
    // Another VM may have a newer configuration.
    if (for_peer) Format::AddRelayVerdict(fields.id, Verdict::kNotRun, 0, false, response);
    respond(std::move(response));
  }

  auto Place(const ActivePtr& active) -> void {
    const auto now = Now();
    auto& forwarded = active->forwarded;
    if (HasCallerClosed(*active)) {
      OnCallerDisconnected(active);
      return;
    }
    if (now >= forwarded.deadline()) {
      Conclude(active, forwarded.OnNoTarget(), Reason::kTimeout, kRetryAfterOtherVm, std::nullopt);
      return;
    }
    if (!FollowsConfiguration(active, now)) return;
    if (!forwarded.MayRun()) {
      // The other VM's attempt may have run, and this VM's configuration has another retry rule.
      Conclude(active, RequestStep::kFail, Reason::kTargetConnectionLost, Duration::zero(),
               std::nullopt);
      return;
    }
    // The state may have become too old since the arrival.
    if (!access_.KnowsHomes(forwarded.attributes().route, now)) {
      Conclude(active, forwarded.OnNoTarget(), Reason::kStaleConfiguration, kRetryAfterOtherVm,
               std::nullopt);
      return;
    }
    if (!MaySend(active, now)) return;
    core_.RecordPlacement(forwarded, now);
    const auto reach = relay_.reach().state(now);
    if (reach == TargetReach::State::kStranded) {
      if (PassOn(active, now)) return;
      if (active->for_peer) {
        // The other VM finds one that reaches targets.
        Conclude(active, forwarded.OnNoTarget(), Reason::kNoTarget, kRetryAfterOtherVm,
                 std::nullopt);
        return;
      }
    }
    const auto result = core_.Place(forwarded, now);
    if (!result.placement.has_value()) {
      const bool may_pass_on =
          reach == TargetReach::State::kImpaired && result.failure == PlacementFailure::kNoTarget;
      if (may_pass_on && PassOn(active, now)) return;
      if (result.late_placement.has_value()) {
        active->expected_queue_wait = result.late_placement->queue_wait;
        active->expected_processing_time = result.late_placement->processing_time;
      }
      Conclude(active, forwarded.OnNoTarget(), ReasonOfFailure(result.failure), result.retry_after,
               std::nullopt);
      return;
    }
    if (now >= serve_until_ || now + result.placement->max_completion_time() > complete_by_) {
      Conclude(active, forwarded.OnNoTarget(), Reason::kLeaving, kRetryAfterOtherVm, std::nullopt);
      return;
    }
    Send(active, *result.placement, now);
  }

  static auto HasCallerClosed(const Active& active) -> bool {
    const auto& disconnect = active.request.disconnect;
    return disconnect != nullptr && disconnect->has_closed && disconnect->has_closed();
  }

  /// Concludes the request if a configuration that came into force after its arrival doesn't allow
  /// its next attempt.
  auto FollowsConfiguration(const ActivePtr& active, MonotonicTime now) -> bool {
    auto& forwarded = active->forwarded;
    const auto in_force = core_.policy()->version;
    if (forwarded.ruled_by() == in_force) return true;
    const auto fields = Format::ReadCaller(active->request);
    const auto route = InFlightRules::RouteFor(
        forwarded, core_.routes().Find(fields.host, active->request.target));
    const auto ruling = access_.Rule(route, fields.access_key, now);
    if (InFlightRules::Apply(forwarded, active->team, in_force, ruling)) return true;
    const bool is_stale = ruling.outcome == TeamAccess::Outcome::kStaleKeys ||
                          ruling.outcome == TeamAccess::Outcome::kStaleHomes;
    Conclude(active, forwarded.OnNoTarget(),
             is_stale ? Reason::kStaleConfiguration : Reason::kConfigurationChanged,
             kRetryAfterOtherVm, std::nullopt);
    return false;
  }

  /// Concludes the request if it must not be sent because of the targets that it may end.
  auto MaySend(const ActivePtr& active, MonotonicTime now) -> bool {
    using Ruling = HarmGuard::Ruling;
    auto& forwarded = active->forwarded;
    const auto ruling = harm_.Rule(active->request, active->digest, now);
    const auto apartness = ruling == Ruling::kSendApart       ? Apartness::kPreferred
                           : ruling == Ruling::kSendOnlyApart ? Apartness::kRequired
                                                              : Apartness::kNone;
    // Requests that have lost a target together would meet again at the next target of their
    // object.
    const bool is_apart = apartness != Apartness::kNone && active->digest.has_value();
    forwarded.SetApartness(apartness,
                           is_apart ? std::optional(active->digest->hash()) : std::nullopt);
    if (ruling != Ruling::kRefuse && ruling != Ruling::kWait) return true;
    const auto step = forwarded.OnNoTarget();
    if (ruling == Ruling::kRefuse && step == RequestStep::kRefuse) {
      Conclude(active, RequestStep::kReject, Reason::kHarmfulRequest, Duration::zero(),
               std::nullopt);
    } else {
      const auto reason =
          ruling == Ruling::kRefuse ? Reason::kHarmfulRequest : Reason::kSuspectedRequest;
      Conclude(active, step, reason, kRetryAfterSuspected, std::nullopt);
    }
    return false;
  }

  /// Has another entry VM serve the request. Returns false if none can.
  auto PassOn(const ActivePtr& active, MonotonicTime now) -> bool {
    auto& forwarded = active->forwarded;
    const auto& route = forwarded.attributes().route;
    const auto& service = forwarded.attributes().service;
    if (active->for_peer) return false;
    const auto vm = relay_.Choose(route, service, now);
    if (!vm.has_value()) return false;
    const RelayTerms terms{route.retry_rule, forwarded.verdict(), forwarded.arrivals(),
                           core_.policy()->version, route.allowed_regions};
    core_.OnPassedOn(forwarded);
    forwarded.OnSent(TargetName(vm->name.value()), vm->region);
    active->through = vm->name.value();
    active->exchange = relay_.Send(
        *vm, service, active->request, terms, forwarded.deadline() - now, OptionsFor(*active),
        [this, active](AttemptOutcome outcome, std::optional<int> arrivals,
                       std::string_view verdict, HttpResult result) {
          OnPassedOn(active, outcome, arrivals, verdict, std::move(result));
        });
    return true;
  }

  auto OnPassedOn(const ActivePtr& active, AttemptOutcome outcome, std::optional<int> arrivals,
                  std::string_view verdict, HttpResult result) -> void {
    if (active->finished) return;
    active->exchange.reset();
    metrics_.Increment(Metric::kRelayed, {{"result", VerdictText(VerdictOf(outcome))}});
    const auto step = active->forwarded.OnRelayEnd(outcome, arrivals, Now());
    attempt_log_.Count(active->forwarded, outcome, result, true);
    if (AttemptLog::IsWritten(active->forwarded, outcome, result)) {
      attempt_log_.Write(active->forwarded,
                         AttemptLog::RelayedAttempt{active->through, outcome, verdict,
                                                    Format::IsSigned(result.response),
                                                    step == RequestStep::kPlace},
                         result);
    }
    if (step == RequestStep::kPlace) {
      Place(active);
    } else if (step == RequestStep::kRefuse && outcome == AttemptOutcome::kRefused) {
      // The refusal says when to come back.
      active->refused_by = active->through;
      Conclude(active, RequestStep::kDeliver, ReasonOf(outcome), Duration::zero(),
               std::move(result.response));
    } else {
      Conclude(active, step, ReasonOf(outcome), kRetryAfterOtherVm, std::move(result.response));
    }
  }

  static auto ReasonOfFailure(PlacementFailure failure) -> Reason {
    switch (failure) {
      case PlacementFailure::kNoTarget:
        return Reason::kNoTarget;
      case PlacementFailure::kTooLate:
        return Reason::kOverload;
      case PlacementFailure::kLimited:
        return Reason::kTargetLimit;
      case PlacementFailure::kPaused:
        return Reason::kTargetPause;
      case PlacementFailure::kNoRetryBudget:
        return Reason::kRetryBudget;
    }
    return Reason::kInternal;
  }

  static auto OptionsFor(const Active& active) -> HttpClient::SendOptions {
    HttpClient::SendOptions options;
    if (active.forwarded.attributes().route.retry_rule == RetryRule::kAtMostOnce) {
      options.max_idle = kMaxIdleForAtMostOnce;
    }
    return options;
  }

  auto Send(const ActivePtr& active, const Placement& placement, MonotonicTime now) -> void {
    const auto& entry = placement.target->entry();
    const auto endpoint = entry.endpoint;
    auto options = OptionsFor(*active);
    // Another instance had the address. Its answer may arrive a second time on the connection, and
    // names this request.
    if (std::count(active->endpoints.begin(), active->endpoints.end(), endpoint) > 0) {
      options.max_idle = HttpClient::SendOptions::kNewConnection;
    }
    active->endpoints.push_back(endpoint);
    const auto time_left = active->forwarded.deadline() - now;
    auto request = Format::ForTarget(active->request, entry, active->team, time_left);
    active->attempt = core_.BeginAttempt(active->forwarded, placement, now);
    harm_.OnSent(active->digest);
    restricted_attempts_.OnSent(active->forwarded, active->request, active->forwarded.last_region(),
                                now);
    relay_.OnSentToTarget(now);
    active->expected_queue_wait = placement.queue_wait;
    active->expected_processing_time = placement.processing_time;
    active->exchange =
        client_.Send(endpoint, std::move(request), time_left + kClientTimeoutMargin, options,
                     [this, active](HttpResult result) { OnResult(active, std::move(result)); });
  }

  auto OnResult(const ActivePtr& active, HttpResult result) -> void {
    if (active->finished) return;
    const auto now = Now();
    const auto reply = Format::ReadReply(result);
    const auto attempt = *std::exchange(active->attempt, std::nullopt);
    active->exchange.reset();
    RecordLimit(*active, attempt.target, reply);
    notices_.OnNotices(attempt.target, reply.notices, "answer");
    const auto step = core_.EndAttempt(active->forwarded, attempt, reply.end, reply.load, now);
    RecordReach(attempt.target, result, now);
    harm_.OnResult(active->request, active->digest, active->forwarded.attributes().service, attempt,
                   reply.end, result, step == RequestStep::kPlace, now);
    attempt_log_.Count(active->forwarded, reply.end, result, false);
    if (AttemptLog::IsWritten(active->forwarded, reply.end, result)) {
      attempt_log_.Write(
          active->forwarded,
          AttemptLog::Attempt{attempt.target, reply.end, harm_.DigestOf(active->request),
                              now - attempt.began, Format::IsSigned(result.response),
                              step == RequestStep::kPlace},
          result);
    }
    if (step == RequestStep::kPlace) {
      metrics_.Increment(Metric::kRetries, {{"reason", ReasonText(ReasonOf(reply.end))}});
      active->last_response = std::move(result.response);
      Place(active);
      return;
    }
    Conclude(active, step, ReasonOf(reply.end), kRetryAfterOtherVm, std::move(result.response));
  }

  auto RecordReach(const TargetName& target, const HttpResult& result, MonotonicTime now) -> void {
    const bool not_accepted =
        absl::IsDeadlineExceeded(result.status) && result.progress == SendProgress::kNothingWritten;
    if (result.status.ok()) {
      relay_.OnTargetAnswered(now);
    } else if (absl::IsUnavailable(result.status) || not_accepted) {
      relay_.OnTargetUnreachable(target, now);
    }
  }

  auto RecordLimit(const Active& active, const TargetName& target,
                   const typename Format::Reply& reply) -> void {
    // A failure may have been written by something other than the target.
    if (!reply.limit.has_value() && reply.end != AttemptOutcome::kSucceeded) return;
    if (!core_.OnLimitReport({target, reply.limit, Duration::zero()}, Now())) return;
    log_.Write(
        LogLevel::kInfo, "target-limit",
        {{"target", target.value()},
         {"service", active.forwarded.attributes().service.value()},
         {"limited", reply.limit.has_value() ? 1 : 0},
         {"limit_rps", fmt::format("{:g}", reply.limit.value_or(RequestsPerSecond(0)).value())}});
  }

  auto OnDeadlineTimer(const ActivePtr& active) -> void {
    if (active->finished) return;
    const auto step = active->forwarded.OnDeadline();
    Abandon(active);
    Conclude(active, step, Reason::kTimeout, kRetryAfterOtherVm, std::nullopt);
  }

  auto OnCallerDisconnected(const ActivePtr& active) -> void {
    if (active->finished) return;
    Abandon(active);
    Finish(active, "caller-gone", 0, Reason::kCallerGone);
  }

  auto Abandon(const ActivePtr& active) -> void {
    if (active->attempt.has_value()) {
      core_.AbandonAttempt(active->forwarded, *active->attempt, Now());
      active->attempt.reset();
      harm_.OnAbandoned(active->digest);
    }
    // Closing the connection tells the target, or the other entry VM, to stop processing.
    if (active->exchange != nullptr) std::exchange(active->exchange, nullptr)->Cancel();
  }

  auto Conclude(const ActivePtr& active, RequestStep step, Reason reason, Duration retry_after,
                std::optional<HttpResponse> response) -> void {
    HttpResponse answer;
    const char* outcome = "served";
    switch (step) {
      case RequestStep::kDeliver:
        // If a retry found no target, the answer is the failure response of the earlier attempt.
        if (!response.has_value()) response = std::move(active->last_response);
        answer = Format::ForCaller(*std::move(response));
        if (reason != Reason::kNone) outcome = "failed-at-target";
        WithdrawFalsePromise(*active, answer);
        break;
      case RequestStep::kRefuse:
        answer = Format::Refused(retry_after);
        outcome = "refused";
        break;
      case RequestStep::kLimit:
        answer = Format::OverQuota(retry_after);
        outcome = "refused";
        break;
      case RequestStep::kReject:
        answer = Format::Harmful();
        outcome = "rejected";
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
    if (active->for_peer) {
      const auto verdict = active->forwarded.verdict();
      const bool is_cause_here =
          reason == Reason::kNoTarget || reason == Reason::kStaleConfiguration;
      const bool out_of_reach = is_cause_here && verdict == Verdict::kNotRun;
      Format::AddRelayVerdict(active->forwarded.attributes().id, verdict,
                              active->forwarded.own_arrivals(), !out_of_reach, answer);
      if (active->forwarded.own_arrivals() > 0) {
        Format::AddRelayConfig(active->forwarded.attributes().config, answer);
      }
    }
    active->respond(std::move(answer));
    Finish(active, outcome, status, reason);
  }

  /// Replaces the answer of a target that may have run the request if its status would make the
  /// caller send the request again.
  auto WithdrawFalsePromise(const Active& active, HttpResponse& answer) -> void {
    const auto& forwarded = active.forwarded;
    if (forwarded.verdict() == Verdict::kNotRun || !Format::PromisesNotRun(answer) ||
        forwarded.attributes().route.retry_rule == RetryRule::kIdempotent) {
      return;
    }
    log_.Write(LogLevel::kWarning, "false-promise",
               {{"id", forwarded.attributes().id.value()},
                {"status", answer.status},
                {"verdict", VerdictText(forwarded.verdict())}});
    answer = Format::Failed();
  }

  auto Finish(const ActivePtr& active, const char* outcome, int status, Reason reason) -> void {
    active->finished = true;
    active->deadline_timer.reset();
    active_.erase(active);
    ReturnToQuota(*active);
    if (reason != Reason::kNone) harm_.OnRequestUnanswered(active->digest, Now());
    // The entry VM that passes a request on counts it.
    if (!active->for_peer) request_log_.CountForTeam(active->team, reason);
    request_log_.OnEnd(
        active->forwarded,
        {outcome, status, reason, active->expected_queue_wait, active->expected_processing_time,
         active->through, active->refused_by, active->team, active->for_peer},
        Now());
  }

  GatewayCore& core_;
  HttpClient& client_;
  WorkerPool& workers_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  AccessControl& access_;
  TeamQuotaGate& quotas_;
  HarmMonitor<Format>& harm_;
  RequestRelay<Format>& relay_;
  const LoopLateness& lateness_;
  RequestLog request_log_;
  AttemptLog attempt_log_;
  RestrictedAttempts<Format> restricted_attempts_;
  TargetNoticeHandler notices_;
  absl::flat_hash_set<ActivePtr> active_;
  bool behind_ = false;
  MonotonicTime serve_until_ = MonotonicTime::max();
  MonotonicTime complete_by_ = MonotonicTime::max();
};

}  // namespace heatherspan
