#include "edge/attempt_log.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/reason.h"
#include "base/verdict.h"
#include "edge/regions_text.h"
#include "edge/retry_rule_text.h"
#include "net/http_result.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {
namespace {

constexpr std::size_t kMaxReceivedText = 40;

auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// What the verdict of an attempt rests on.
template <class Attempt>
auto AppendEvidence(const ForwardedRequest& request, const Attempt& attempt,
                    const HttpResult& result, std::vector<LogField>& fields) -> void {
  const auto& attributes = request.attributes();
  const auto& trace = result.trace;
  const auto& placed = request.last_placement();
  fields.insert(fields.end(), {{"status", result.status.ok() ? result.response.status : 0},
                               {"error", std::string(result.status.message())},
                               {"next", attempt.is_retried ? "retry" : "answer"},
                               {"attempt", request.attempts()},
                               {"retry_rule", RetryRuleText(attributes.route.retry_rule)},
                               {"route_config", attributes.config.value()},
                               {"connection", trace.connection.value()},
                               {"earlier_exchanges", trace.earlier_exchanges},
                               {"written_bytes", trace.written_bytes},
                               {"request_bytes", trace.request_bytes},
                               {"dropped_answers", trace.foreign_answers},
                               {"answer_names", AnswerIdentityText(trace.identity)},
                               {"signed", attempt.is_signed ? 1 : 0},
                               {"events", trace.events.Text()},
                               {"homes", RegionsText(placed.allowed_regions)},
                               {"target_region", request.last_region().value()},
                               {"placed_config", placed.config.value()},
                               {"placed_state_age_ms", Milliseconds(placed.state_age)}});
}

auto IsNotRun(AttemptOutcome outcome) -> bool { return VerdictOf(outcome) == Verdict::kNotRun; }

}  // namespace

auto AttemptLog::Count(const ForwardedRequest& request, AttemptOutcome outcome,
                       const HttpResult& result, bool relayed) -> void {
  const std::pair<std::string_view, std::string_view> service = {
      "service", request.attributes().service.value()};
  if (result.trace.foreign_answers > 0) {
    metrics_.Increment(Metric::kUnattributedAnswers, {service, {"names", "other"}},
                       result.trace.foreign_answers);
  }
  if (result.may_be_copy) {
    metrics_.Increment(Metric::kUnattributedAnswers, {service, {"names", "none"}});
  }
  if (result.trace.events.Contains(ExchangeEvent::kReconnect)) {
    metrics_.Increment(Metric::kReconnectedRequests, {service});
  }
  if (!IsNotRun(outcome)) return;
  const bool not_written = result.progress == SendProgress::kNothingWritten;
  const std::string_view source = relayed ? "relay" : "target-status";
  metrics_.Increment(Metric::kNotRunVerdicts, {{"source", not_written ? "not-written" : source}});
}

auto AttemptLog::IsWritten(const ForwardedRequest& request, AttemptOutcome outcome,
                           const HttpResult& result) -> bool {
  if (outcome != AttemptOutcome::kSucceeded) return true;
  if (request.attributes().route.retry_rule == RetryRule::kIdempotent) return false;
  return request.attempts() > 1 || result.trace.foreign_answers > 0 ||
         result.trace.events.Contains(ExchangeEvent::kReconnect);
}

auto AttemptLog::Write(const ForwardedRequest& request, const Attempt& attempt,
                       const HttpResult& result) -> void {
  std::vector<LogField> fields = {{"id", request.attributes().id.value()},
                                  {"target", attempt.target.value()},
                                  {"end", ReasonText(ReasonOf(attempt.outcome))},
                                  {"request", attempt.digest.Text()},
                                  {"at_target_ms", Milliseconds(attempt.at_target)},
                                  {"verdict", VerdictText(VerdictOf(attempt.outcome))}};
  AppendEvidence(request, attempt, result, fields);
  log_.Write(LogLevel::kInfo, "attempt", fields);
}

auto AttemptLog::Write(const ForwardedRequest& request, const RelayedAttempt& attempt,
                       const HttpResult& result) -> void {
  std::vector<LogField> fields = {{"id", request.attributes().id.value()},
                                  {"vm", attempt.vm},
                                  {"end", ReasonText(ReasonOf(attempt.outcome))},
                                  {"received", attempt.received.substr(0, kMaxReceivedText)},
                                  {"verdict", VerdictText(VerdictOf(attempt.outcome))}};
  AppendEvidence(request, attempt, result, fields);
  log_.Write(LogLevel::kInfo, "relayed-attempt", fields);
}

}  // namespace heatherspan
