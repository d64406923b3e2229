#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/time.h"
#include "net/http_request.h"
#include "net/http_result.h"

namespace heatherspan {

class WorkerPool;

/// An HTTP/1.1 client with a bounded pool of connections for each endpoint. It never sends a
/// request twice: a reused connection that turns out closed before a byte was written is replaced,
/// any other failure is reported with its progress. A connection with an abandoned or over-read
/// exchange is closed.
///
/// Status codes of failures: kInvalidArgument (the request can't be written), kResourceExhausted
/// (with nothing written: all connections are in use; else: the response is too large),
/// kUnavailable (with nothing written: no connection; else: closed without a response), kDataLoss
/// (truncated or malformed response, or one whose end can't be told), kDeadlineExceeded,
/// kCancelled.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  struct Limits {
    std::size_t max_connections_per_endpoint = 64;  ///< Further requests fail at once.
    std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
    Duration connect_timeout = std::chrono::seconds(1);
    Duration idle_timeout = std::chrono::seconds(30);
  };

  /// Abandons the exchange and closes its connection; the callback gets a cancelled status.
  class Exchange {
   public:
    virtual ~Exchange() = default;
    virtual auto Cancel() -> void = 0;
  };

  HttpClient(WorkerPool& workers, Limits limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Calls back exactly once, on a worker. The timeout covers connecting, too.
  auto Send(const Endpoint& endpoint, HttpRequest request, Duration timeout, Callback callback)
      -> std::shared_ptr<Exchange>;

  /// Sends and waits, for programs with no other work. Must not be called on a worker.
  auto SendAndWait(const Endpoint& endpoint, HttpRequest request, Duration timeout) -> HttpResult;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
