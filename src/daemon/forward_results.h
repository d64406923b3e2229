#pragma once

#include "base/refusal.h"
#include "base/time.h"
#include "messages/forward_response.h"

namespace heatherspan {

/// A response that carries a refusal.
auto RefusalForwardResponse(const Refusal& refusal) -> ForwardResponse;

/// A response that carries a verdict and a reason without Retry-After.
auto RefusalForwardResponse(Verdict verdict, Reason reason) -> ForwardResponse;

/// Whether the receiving entry VM may retry the request at another node after this response.
auto IsRetryable(const ForwardResponse& response, bool idempotent) -> bool;

/// The time left until a deadline in whole milliseconds, at least zero.
auto MillisecondsLeft(MonotonicTime deadline, MonotonicTime now) -> std::uint32_t;

}  // namespace heatherspan
