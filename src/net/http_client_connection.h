#pragma once

#include <cstdint>
#include <memory>

#include "net/http_client.h"

namespace heatherspan {

class HttpClientState;
class WorkerPool;

/// One connection of an HttpClient; it carries one exchange at a time. Thread-safe: the methods
/// post to the connection's strand.
class HttpClientConnection {
 public:
  static auto Create(WorkerPool& workers, const Endpoint& endpoint,
                     std::shared_ptr<HttpClientState> client)
      -> std::shared_ptr<HttpClientConnection>;

  HttpClientConnection() = default;
  virtual ~HttpClientConnection() = default;
  HttpClientConnection(const HttpClientConnection&) = delete;
  auto operator=(const HttpClientConnection&) -> HttpClientConnection& = delete;

  /// Connects if need be and runs the exchange. The number tells it from all others.
  virtual auto Begin(std::uint64_t exchange, HttpRequest request, Duration timeout,
                     HttpClient::Callback callback) -> void = 0;
  /// Ends the exchange, if it is still that of the number, and closes the connection.
  virtual auto Cancel(std::uint64_t exchange) -> void = 0;
  /// Cancels any exchange and closes the connection.
  virtual auto Close() -> void = 0;
};

}  // namespace heatherspan
