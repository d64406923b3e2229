#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "messages/forward_response.h"
#include "messages/header_field.h"

namespace heatherspan {

/// A caller's request inside the node.
struct RoutedRequest {
  RequestId id;
  ServiceName service;
  /// The region of the caller's client block; shifts away from it are limited.
  RegionName client_region;
  bool idempotent = true;
  MonotonicTime deadline;
  /// Nothing may be sent after this time; set for requests with a ticket.
  std::optional<MonotonicTime> send_deadline;
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
  std::string body;
};

/// Receives the end of a request, exactly once.
using ForwardCallback = std::function<void(ForwardResponse)>;

}  // namespace heatherspan
