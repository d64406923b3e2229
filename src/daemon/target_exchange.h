#pragma once

#include <string_view>

#include "admission/target_outcome.h"
#include "base/ids.h"
#include "daemon/routed_request.h"
#include "messages/forward_response.h"
#include "net/http_request.h"
#include "net/http_result.h"

namespace heatherspan {

/// The request as a target gets it.
auto MakeTargetRequest(const RoutedRequest& request, MonotonicTime now) -> HttpRequest;

/// What an exchange with a target means for the caller, and for the pool of targets.
struct ExchangeResult {
  ForwardResponse response;
  TargetOutcome outcome = TargetOutcome::kConnectionLost;
};

/// Interprets the end of an exchange with a target. A result is "not run" only if no byte was
/// written or the target refused the request itself.
auto InterpretExchange(HttpResult result) -> ExchangeResult;

}  // namespace heatherspan
