#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "net/http_request.h"
#include "net/http_result.h"

namespace heatherspan {

class MemoryAccount;
class WorkerPool;

/// An HTTP/1.1 client with a bounded pool of connections for each endpoint. It never sends a
/// request twice: a reused connection that turns out closed before a byte was written is replaced,
/// any other failure is reported with its progress. A connection with an abandoned or over-read
/// exchange is closed.
///
/// Status codes of failures: kInvalidArgument (the request can't be written), kResourceExhausted
/// (with nothing written: all connections are in use; else: the response is too large, by itself or
/// beside all else that the process holds),
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
    /// A shorter time in a response's Keep-Alive field goes first.
    Duration idle_timeout = std::chrono::seconds(30);
    /// A connection with bytes that the peer's machine has not acknowledged for so long, or that is
    /// silent to probes, fails. Zero leaves it to the operating system.
    Duration unacknowledged_timeout = Duration::zero();
    /// Takes a response whose end is the orderly end of the connection for complete.
    bool accept_unframed_responses = false;
    /// Sends the request's own Host field instead of the endpoint.
    bool forward_host = false;
    /// A header field whose value a response has to repeat. A response with another value belongs
    /// to another request: it is dropped, and the connection is closed after the exchange.
    std::string correlation_header = {};
  };

  /// What differs from one request to the next.
  struct SendOptions {
    /// Leaves out connections that have been idle for longer. A peer may drop an idle connection at
    /// any time, and a request that was written on it may or may not have run.
    Duration max_idle = Duration::max();

    /// A value of `max_idle` that leaves out all connections that have been used.
    static constexpr Duration kNewConnection = Duration::min();
  };

  /// Abandons the exchange and closes its connection; the callback gets a cancelled status.
  class Exchange {
   public:
    virtual ~Exchange() = default;
    virtual auto Cancel() -> void = 0;
  };

  /// `memory`: the account of the responses that are being read; null for one without a bound.
  HttpClient(WorkerPool& workers, Limits limits, std::shared_ptr<MemoryAccount> memory = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /// Calls back exactly once, on a worker. The timeout covers connecting, too.
  auto Send(const Endpoint& endpoint, HttpRequest request, Duration timeout, Callback callback)
      -> std::shared_ptr<Exchange>;
  auto Send(const Endpoint& endpoint, HttpRequest request, Duration timeout,
            const SendOptions& options, Callback callback) -> std::shared_ptr<Exchange>;

  /// Memory of the response bodies that are being read, small ones apart.
  auto reading_bytes() const -> std::size_t;

  /// Sends and waits, for programs with no other work. Must not be called on a worker.
  auto SendAndWait(const Endpoint& endpoint, HttpRequest request, Duration timeout) -> HttpResult;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
