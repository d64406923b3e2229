#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "messages/header_field.h"

namespace heatherspan {

/// A whole HTTP request, body included.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query.
  std::vector<HeaderField> headers;
  std::string body;
  Endpoint remote;  ///< The sender; set by the server.

  /// The first field of that name, compared without case; empty if there is none.
  auto Header(std::string_view name) const -> std::string_view;
};

}  // namespace heatherspan
