#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/reason.h"
#include "base/time.h"
#include "base/verdict.h"
#include "edge/regions_text.h"
#include "edge/retry_rule_text.h"
#include "gateway/gateway_core.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Writes a line and counts each request that is over.
class RequestLog {
 public:
  /// What is known of a request beside its state.
  struct End {
    const char* outcome = "";
    int status = 0;
    Reason reason = Reason::kNone;
    Duration expected_queue_wait{};
    Duration expected_processing_time{};
    std::string_view through;     ///< The entry VM that has served it for this one, if any.
    std::string_view refused_by;  ///< The entry VM whose refusal was delivered, if any.
    std::optional<TeamName> team;
    bool for_peer = false;
  };

  /// A request that was refused before it had a route.
  struct Unadmitted {
    int status = 0;
    Reason reason = Reason::kNone;
    std::string_view host;
    std::string_view target;  ///< As in the request line.
    bool for_peer = false;
  };

  RequestLog(const GatewayCore& core, EventLog& log, MetricsRegistry& metrics)
      : core_(core), log_(log), metrics_(metrics) {}

  auto OnUnadmitted(const RequestId& id, const Unadmitted& request, MonotonicTime now) -> void {
    metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(request.reason)},
                                           {"verdict", VerdictText(Verdict::kNotRun)}});
    log_.Write(LogLevel::kWarning, "request",
               {{"id", id.value()},
                {"outcome", "rejected"},
                {"status", request.status},
                {"reason", ReasonText(request.reason)},
                {"verdict", VerdictText(Verdict::kNotRun)},
                {"host", request.host.substr(0, kMaxTextBytes)},
                {"path", FirstSegment(request.target)},
                {"for_peer", request.for_peer ? 1 : 0},
                {"config", ConfigVersionNumber()},
                {"store_revision", core_.store_revision()},
                {"store_age_ms", Milliseconds(core_.StoreAge(now))},
                {"uptime_ms", Milliseconds(now - started_at_)}});
  }

  /// Counts a request of a team, as served without a reason.
  auto CountForTeam(const std::optional<TeamName>& team, Reason reason) -> void {
    if (!team.has_value()) return;
    const auto result = reason == Reason::kNone ? "served" : ReasonText(reason);
    metrics_.Increment(Metric::kTeamRequests, {{"team", team->value()}, {"result", result}});
  }

  auto OnEnd(const ForwardedRequest& forwarded, const End& end, MonotonicTime now) -> void {
    const auto& attributes = forwarded.attributes();
    const auto elapsed = now - attributes.arrived;
    metrics_.Increment(Metric::kRequests, {{"service", attributes.service.value()},
                                           {"verdict", VerdictText(forwarded.verdict())}});
    if (end.reason != Reason::kNone) {
      metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(end.reason)},
                                             {"verdict", VerdictText(forwarded.verdict())}});
    }
    metrics_.Observe(Metric::kRequestSeconds, {{"service", attributes.service.value()}}, elapsed);
    const auto& targets = forwarded.attempted_targets();
    const auto& placed = forwarded.last_placement();
    log_.Write(end.reason == Reason::kNone ? LogLevel::kInfo : LogLevel::kWarning, "request",
               {{"id", attributes.id.value()},
                {"route", attributes.route.name.value()},
                {"service", attributes.service.value()},
                {"team", end.team.has_value() ? end.team->value() : ""},
                {"object", attributes.object},
                {"target", targets.empty() ? "" : targets.back().value()},
                {"through", end.through},
                {"refused_by", end.refused_by},
                {"for_peer", end.for_peer ? 1 : 0},
                {"attempts", forwarded.attempts()},
                {"outcome", end.outcome},
                {"status", end.status},
                {"reason", ReasonText(end.reason)},
                {"verdict", VerdictText(forwarded.verdict())},
                {"ms", Milliseconds(elapsed)},
                {"expected_wait_ms", Milliseconds(end.expected_queue_wait)},
                {"expected_work_ms", Milliseconds(end.expected_processing_time)},
                {"patience_ms", Milliseconds(attributes.caller_timeout)},
                {"returning", attributes.resubmitted ? 1 : 0},
                {"retry_rule", RetryRuleText(attributes.route.retry_rule)},
                {"route_config", attributes.config.value()},
                {"config", ConfigVersionNumber()},
                {"homes", RegionsText(placed.allowed_regions)},
                {"target_region", forwarded.last_region().value()},
                {"placed_config", placed.config.value()},
                {"placed_state_age_ms", Milliseconds(placed.state_age)},
                {"store_revision", core_.store_revision()},
                {"store_age_ms", Milliseconds(core_.StoreAge(now))},
                {"uptime_ms", Milliseconds(now - started_at_)}});
  }

 private:
  /// Longer texts of callers are cut in the log.
  static constexpr std::size_t kMaxTextBytes = 64;

  /// The rest of a path may name what callers keep private.
  static auto FirstSegment(std::string_view target) -> std::string_view {
    const auto end = target.find_first_of("/?", 1);
    return target.substr(0, std::min(end, kMaxTextBytes));
  }

  static auto Milliseconds(Duration duration) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  }

  auto ConfigVersionNumber() const -> std::uint64_t {
    return core_.policy() == nullptr ? 0 : core_.policy()->version.value();
  }

  const GatewayCore& core_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const MonotonicTime started_at_ = SystemClock().Now();
};

}  // namespace heatherspan
