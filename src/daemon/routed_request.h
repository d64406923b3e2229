#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "messages/forward_response.h"
#include "messages/header_field.h"
#include "net/message_body.h"

namespace heatherspan {

/// A caller's request as the components of a node pass it on.
struct RoutedRequest {
  RequestId id;
  ServiceName service;
  /// The region of the caller's client block. The shift limiter limits shifts away from it.
  RegionName client_region;
  bool idempotent = true;
  MonotonicTime deadline;
  /// No attempt may be sent after this time. Set for requests with a ticket.
  std::optional<MonotonicTime> send_deadline;
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
  MessageBody body;
};

/// Receives the final response to a request. Called exactly once.
using ForwardCallback = std::function<void(ForwardResponse)>;

}  // namespace heatherspan
