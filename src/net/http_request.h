#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "messages/header_field.h"
#include "net/message_body.h"

namespace heatherspan {

/// Lets the handler of a request learn that its sender has closed the connection.
struct DisconnectHook {
  /// Set by the handler before it returns; called at most once, before any response is written.
  std::function<void()> on_disconnect;
  /// Whether the sender has closed the connection, also if on_disconnect is still to come. Set by
  /// the server; with one worker it may be called at any time.
  std::function<bool()> has_closed;
};

/// A whole HTTP request, body included.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query.
  std::vector<HeaderField> headers;
  MessageBody body;
  Endpoint remote;  ///< The sender; set by the server.
  /// Set by a server that watches for disconnects; else null.
  std::shared_ptr<DisconnectHook> disconnect = nullptr;

  /// The first field of that name, compared without case; empty if there is none.
  auto Header(std::string_view name) const -> std::string_view;
};

}  // namespace heatherspan
