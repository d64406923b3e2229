#pragma once

#include <string_view>

#include "admission/target_outcome.h"
#include "base/ids.h"
#include "daemon/routed_request.h"
#include "messages/forward_response.h"
#include "net/http_request.h"
#include "net/http_result.h"

namespace heatherspan {

/// The HTTP request that is sent to a target.
auto MakeTargetRequest(const RoutedRequest& request, MonotonicTime now) -> HttpRequest;

/// The result of an exchange with a target: the response for the caller, and the outcome for the
/// pool of targets.
struct ExchangeResult {
  ForwardResponse response;
  TargetOutcome outcome = TargetOutcome::kConnectionLost;
};

/// Interprets the end of an exchange with a target. The verdict is "not run" only if no byte was
/// written or the target itself refused the request.
auto InterpretExchange(HttpResult result) -> ExchangeResult;

}  // namespace heatherspan
