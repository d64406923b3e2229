#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "messages/header_field.h"

namespace heatherspan {

/// A whole HTTP response, body included.
struct HttpResponse {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;
  bool close = false;  ///< The server closes the connection after this response.

  /// The first field of that name, compared without case; empty if there is none.
  auto Header(std::string_view name) const -> std::string_view;
};

}  // namespace heatherspan
