#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/refusal.h"
#include "daemon/routed_request.h"
#include "net/http_response.h"
#include "steering/lookup_answer.h"

namespace heatherspan {

/// The HTTP status for a refusal.
auto HttpStatusOf(const Refusal& refusal) -> int;

/// The JSON body of a look-up answer. The ticket is left out if it is empty.
auto LookupBody(std::string_view service, const LookupAnswer& answer, std::string_view ticket)
    -> std::string;

/// The HTTP response for a refusal. The headers and the JSON body contain the same values.
auto RefusalHttpResponse(int status, const RequestId& id, const Refusal& refusal,
                         ConfigVersion version) -> HttpResponse;

/// The HTTP response that passes the target's response on to the caller.
auto AnswerHttpResponse(const RequestId& id, ForwardResponse response, ConfigVersion version)
    -> HttpResponse;

/// Whether a header of a request or response applies only to one connection and must not be
/// forwarded.
auto IsHopByHop(std::string_view name) -> bool;

}  // namespace heatherspan
