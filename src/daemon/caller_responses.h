#pragma once

#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/refusal.h"
#include "daemon/routed_request.h"
#include "net/http_response.h"
#include "steering/lookup_answer.h"

namespace heatherspan {

/// The HTTP status that goes with a refusal.
auto HttpStatusOf(const Refusal& refusal) -> int;

/// The JSON body of a look-up answer. A ticket is added unless it is empty.
auto LookupBody(std::string_view service, const LookupAnswer& answer, std::string_view ticket)
    -> std::string;

/// A refusal with its headers and a JSON body that says the same.
auto RefusalHttpResponse(int status, const RequestId& id, const Refusal& refusal,
                         ConfigVersion version) -> HttpResponse;

/// The target's response as the caller gets it.
auto AnswerHttpResponse(const RequestId& id, ForwardResponse response, ConfigVersion version)
    -> HttpResponse;

/// Whether a header of a request or response concerns only one connection and must not be passed
/// on.
auto IsHopByHop(std::string_view name) -> bool;

}  // namespace heatherspan
