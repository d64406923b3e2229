#pragma once

#include <concepts>
#include <functional>

#include "base/endpoint.h"
#include "net/http_request.h"
#include "net/http_result.h"

namespace heatherspan {

/// Carries one request to the administration interface of an entry VM and waits for its end.
template <class T>
concept AdminTransport = requires(T& transport, const Endpoint& endpoint, HttpRequest request) {
  { transport.Send(endpoint, std::move(request)) } -> std::same_as<HttpResult>;
};

/// A transport whose type does not matter any more.
using SendFunction = std::function<HttpResult(const Endpoint&, HttpRequest)>;

}  // namespace heatherspan
