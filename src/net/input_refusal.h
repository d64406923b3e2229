#pragma once

#include <cstddef>
#include <string>

#include "base/endpoint.h"

namespace heatherspan {

/// Input that an HttpServer has refused itself, without its handler.
struct InputRefusal {
  enum class Cause {
    kBadRequest,
    kHeaderTooLarge,
    kBodyTooLarge,
    kRequestTimeout,
    kTooManyConnections,
    kNoMemory,
  };

  Cause cause = Cause::kBadRequest;
  int status = 0;  ///< 0: the connection was closed without a response.
  Endpoint remote;
  std::string error;                 ///< What the reader found wrong, in words; may be empty.
  std::size_t message_bytes = 0;     ///< Of the message that had come.
  std::size_t handled_requests = 0;  ///< Requests of the connection handed over before.
  // The limits in force for the connection.
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  std::size_t max_connections = 0;
  bool limits_outdated = false;  ///< The server's limits of a message have changed since.
};

}  // namespace heatherspan
