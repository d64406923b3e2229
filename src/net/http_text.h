#pragma once

#include <string>

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "net/http_request.h"
#include "net/http_response.h"

namespace heatherspan {

/// What the server knows of the request when it writes the response.
struct ResponseContext {
  bool keep_alive = true;
  bool http_1_0 = false;
  bool head = false;  ///< The request's method was HEAD: the body stays out.
};

/// Fails if the request line or a header would break the framing of the message.
auto CheckRequestText(const HttpRequest& request) -> absl::Status;

/// Appends the request line and the header. Content-Length, Connection, Transfer-Encoding and Host
/// are set here, and the request's own fields of these names are left out.
auto AppendRequestHead(const HttpRequest& request, std::string_view host, std::string& out) -> void;

/// Appends the status line and the header. Content-Length, Connection and Transfer-Encoding are set
/// here; fields that would break the framing are left out.
auto AppendResponseHead(const HttpResponse& response, const ResponseContext& context,
                        std::string& out) -> void;

/// Whether a response of that status may have a body.
auto StatusHasBody(int status) -> bool;

}  // namespace heatherspan
