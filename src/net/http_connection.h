#pragma once

#include <chrono>
#include <memory>

#include "base/endpoint.h"
#include "net/connection_use.h"

namespace heatherspan {

class WorkerPool;
struct HttpServerState;

/// One connection of an HttpServer. It hands over pipelined requests up to a limit and writes their
/// responses in order. A response closes the connection only if it is the last one of those: what
/// follows was not handed over. Thread-safe: the methods post to the connection's strand.
class HttpConnection {
 public:
  /// A close with unread input resets the connection, and the peer may lose the response. Input is
  /// therefore read and dropped until the peer closes, at most for this time.
  static constexpr auto kLingerTime = std::chrono::seconds(2);

  /// Takes the accepted socket over.
  static auto Create(WorkerPool& workers, int socket, bool is_v6, Endpoint remote,
                     std::shared_ptr<HttpServerState> server) -> std::shared_ptr<HttpConnection>;

  HttpConnection() = default;
  virtual ~HttpConnection() = default;
  HttpConnection(const HttpConnection&) = delete;
  auto operator=(const HttpConnection&) -> HttpConnection& = delete;

  virtual auto Start() -> void = 0;
  /// Answers 503 without reading a request, then closes.
  virtual auto StartRefused() -> void = 0;
  virtual auto CloseIfIdle() -> void = 0;
  virtual auto Close() -> void = 0;
  /// Whether the present step takes longer than its limit.
  virtual auto Overdue(std::chrono::steady_clock::time_point now) const -> bool = 0;
  virtual auto EndOverdue() -> void = 0;
  virtual auto use() const -> ConnectionUse = 0;
  /// Closes the connection if its use is still this one.
  virtual auto GiveWay(ConnectionUse use) -> void = 0;
};

}  // namespace heatherspan
