#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "net/http_request.h"
#include "net/http_response.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace heatherspan {

/// The HTTP listener of the stand-ins. Unlike HttpServer it can misbehave on purpose: close a
/// connection without an answer, stop accepting and resume; and it tells when a caller has gone. It
/// runs on one thread: that of the io_context.
class StandinServer {
 public:
  /// One request that waits for its answer.
  class Exchange {
   public:
    virtual ~Exchange() = default;
    virtual auto Respond(HttpResponse response) -> void = 0;
    /// Closes the connection without an answer.
    virtual auto Drop() -> void = 0;
    /// Calls back if the caller closes the connection before the answer.
    virtual auto OnClose(std::function<void()> callback) -> void = 0;
  };
  using Handler = std::function<void(HttpRequest, std::shared_ptr<Exchange>)>;

  struct Limits {
    std::size_t max_connections = 1000;  ///< Further connections are closed at once.
    std::size_t max_body_bytes = std::size_t{2} * 1024 * 1024;
  };

  StandinServer(boost::asio::io_context& context, Limits limits, Handler handler);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  auto operator=(const StandinServer&) -> StandinServer& = delete;

  /// Port 0 takes a free port; the result names the port taken.
  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;
  /// Stops to accept and closes every connection.
  auto Suspend() -> void;
  /// Listens again on the same endpoint.
  auto Resume() -> absl::Status;
  auto connections() const -> std::size_t;

 private:
  class Connection;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
