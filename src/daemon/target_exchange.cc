#include "daemon/target_exchange.h"

#include <array>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "daemon/forward_results.h"
#include "daemon/header_names.h"

namespace heatherspan {
namespace {

constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;

constexpr std::array<std::pair<std::string_view, TargetOutcome>, 3> kTargetRefusals = {{
    {"shed", TargetOutcome::kShed},
    {"draining", TargetOutcome::kDraining},
    {"deadline", TargetOutcome::kDeadlineRefused},
}};

auto RefusalOutcome(const HttpResponse& response) -> std::optional<TargetOutcome> {
  if (response.status != kServiceUnavailable) return std::nullopt;
  const auto refused = response.Header(kTargetRefusedHeader);
  for (const auto& [text, outcome] : kTargetRefusals) {
    if (refused == text) return outcome;
  }
  return std::nullopt;
}

auto InterpretResponse(HttpResponse response, bool may_be_copy) -> ExchangeResult {
  if (const auto refusal = RefusalOutcome(response); refusal.has_value()) {
    if (may_be_copy) {
      return {RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kTargetRefused), *refusal};
    }
    const auto reason =
        *refusal == TargetOutcome::kDeadlineRefused ? Reason::kDeadline : Reason::kTargetRefused;
    return {RefusalForwardResponse(Verdict::kNotRun, reason), *refusal};
  }
  ExchangeResult result;
  result.outcome =
      response.status >= kFirstServerError ? TargetOutcome::kServerError : TargetOutcome::kAnswered;
  result.response.verdict = Verdict::kRan;
  result.response.status = static_cast<std::uint32_t>(response.status);
  result.response.headers = std::move(response.headers);
  result.response.body = std::move(response.body);
  return result;
}

auto InterpretFailure(const HttpResult& result) -> ExchangeResult {
  if (result.progress == SendProgress::kNothingWritten) {
    return {RefusalForwardResponse(Verdict::kNotRun, Reason::kTargetConnect),
            TargetOutcome::kConnectFailed};
  }
  if (absl::IsDeadlineExceeded(result.status)) {
    return {RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kTargetTimeout),
            TargetOutcome::kTimeout};
  }
  if (absl::IsResourceExhausted(result.status)) {
    return {RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kResponseTooLarge),
            TargetOutcome::kAnswered};
  }
  if (absl::IsCancelled(result.status)) {
    return {RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kCancelled),
            TargetOutcome::kCancelled};
  }
  const auto reason = result.response.status != 0 && absl::IsDataLoss(result.status)
                          ? Reason::kTruncatedResponse
                          : Reason::kTargetConnectionLost;
  return {RefusalForwardResponse(Verdict::kMayHaveRun, reason), TargetOutcome::kConnectionLost};
}

}  // namespace

auto MakeTargetRequest(const RoutedRequest& request, MonotonicTime now) -> HttpRequest {
  HttpRequest http;
  http.method = request.method;
  http.target = request.path;
  http.headers = request.headers;
  http.headers.push_back({std::string(kRequestIdHeader), request.id.value()});
  http.headers.push_back(
      {std::string(kDeadlineHeader), std::to_string(MillisecondsLeft(request.deadline, now))});
  http.body = request.body;
  return http;
}

auto InterpretExchange(HttpResult result) -> ExchangeResult {
  if (result.status.ok()) {
    return InterpretResponse(std::move(result.response), result.may_be_copy);
  }
  return InterpretFailure(result);
}

}  // namespace heatherspan
