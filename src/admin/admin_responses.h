#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/ids.h"
#include "net/http_response.h"

namespace heatherspan {

/// A JSON response. A version other than zero goes into its header.
auto AdminJson(int status, const nlohmann::ordered_json& body, ConfigVersion version = {})
    -> HttpResponse;

/// A response with one error message.
auto AdminError(int status, std::string_view message) -> HttpResponse;

/// The response to a failed call of the repository: 409 for a conflict, 503 if nothing was written,
/// 502 if the write may have taken effect.
auto AdminFailure(const absl::Status& status) -> HttpResponse;

}  // namespace heatherspan
