#include "daemon/forward_results.h"

#include <algorithm>
#include <limits>

namespace heatherspan {

auto RefusalForwardResponse(const Refusal& refusal) -> ForwardResponse {
  ForwardResponse response;
  response.verdict = refusal.verdict;
  response.reason = refusal.reason;
  if (refusal.retry_after.has_value()) {
    response.retry_after_ms = static_cast<std::uint32_t>(refusal.retry_after->count());
  }
  return response;
}

auto RefusalForwardResponse(Verdict verdict, Reason reason) -> ForwardResponse {
  return RefusalForwardResponse(Refusal{verdict, reason, std::nullopt});
}

auto IsRetryable(const ForwardResponse& response, bool idempotent) -> bool {
  switch (response.reason) {
    // Another node would reach the same decision.
    case Reason::kBadRequest:
    case Reason::kDeadline:
    case Reason::kTargetTimeout:
    case Reason::kPeerTimeout:
    case Reason::kResponseTooLarge:
    case Reason::kUnknownService:
      return false;
    default:
      break;
  }
  switch (response.verdict) {
    case Verdict::kNotRun:
      return true;
    case Verdict::kMayHaveRun:
      return idempotent;
    case Verdict::kRan:
      return false;
  }
  return false;
}

auto MillisecondsLeft(MonotonicTime deadline, MonotonicTime now) -> std::uint32_t {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(left, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace heatherspan
