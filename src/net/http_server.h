#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/time.h"
#include "net/http_request.h"
#include "net/http_response.h"

namespace heatherspan {

struct InputRefusal;
class MemoryAccount;
class WorkerPool;

/// An HTTP/1.1 server that reads whole requests within limits and hands them to one handler.
/// Requests beyond a limit are answered by the server itself (400, 408, 413, 431, 503) and counted.
class HttpServer {
 public:
  /// Sends the response; may be called once, from any thread.
  using Responder = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Responder)>;
  /// Called on any worker thread; must not call the server.
  using RefusalObserver = std::function<void(const InputRefusal&)>;

  struct Limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    /// On a full server, connections that wait for a request give way to new ones; without these,
    /// new ones are refused.
    std::size_t max_connections = 10'000;
    /// Requests of one connection that are handled at once. Further ones wait unread.
    std::size_t max_pipelined = 1;
    Duration request_timeout = std::chrono::seconds(10);  ///< To read the head of a request.
    /// In which nothing of a request's body comes.
    Duration body_timeout = std::chrono::seconds(10);
    Duration idle_timeout = std::chrono::seconds(60);  ///< Between two requests.
    Duration write_timeout = std::chrono::seconds(30);
    /// The sizes may be raised soon: larger requests may be sent again (503).
    bool provisional = false;
    /// Watch for callers that close their connection while their request is handled.
    bool watch_disconnects = false;
  };

  /// Requests that the server answered itself or dropped, by cause.
  struct Counters {
    std::size_t bad_request = 0;
    std::size_t header_too_large = 0;
    std::size_t body_too_large = 0;
    std::size_t request_timeout = 0;
    std::size_t too_many_connections = 0;
    std::size_t evicted = 0;      ///< Connections that were closed to make room for new ones.
    std::size_t caller_gone = 0;  ///< The caller had closed the connection when it was read.
    std::size_t no_memory = 0;
  };

  /// `memory`: the account of all that the server holds; null for one without a bound.
  HttpServer(WorkerPool& workers, Limits limits, Handler handler,
             std::shared_ptr<MemoryAccount> memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  /// Must be called before Listen.
  auto SetRefusalObserver(RefusalObserver observer) -> void;
  /// Starts to accept. Port 0 takes a free port; the result names the port taken.
  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;
  /// Applies to connections that are accepted, requests that begin and timeouts that start from now
  /// on.
  auto SetLimits(const Limits& limits) -> void;
  /// Closes the listening socket; open connections go on.
  auto StopListening() -> void;
  /// Answers each further request with "Connection: close" but leaves idle connections open, so
  /// that a request which is already on its way is answered.
  auto BeginClosing() -> void;
  /// Answers each further request with "Connection: close" and closes idle connections.
  auto BeginDrain() -> void;
  /// Stops to accept and closes every connection.
  auto Stop() -> void;

  /// Requests handed to the handler and not yet fully answered.
  auto active_requests() const -> std::size_t;
  auto counters() const -> Counters;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
