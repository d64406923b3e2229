#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "net/http_request.h"
#include "net/http_response.h"
#include "net/memory_account.h"

namespace heatherspan {

/// A request that a server's connection has handed over, or an error in the input, and its
/// response. Responses leave in the order of the requests.
struct ServerExchange {
  bool keep_alive = true;
  bool http_1_0 = false;
  bool head = false;
  std::shared_ptr<DisconnectHook> disconnect;
  std::optional<HttpResponse> response;
  HeldMemory request_header;  ///< And its copy that is passed on.
  std::size_t response_bytes = 0;
  HeldMemory held;  ///< By the response, unless it counts as part of a queue.
};

}  // namespace heatherspan
