#pragma once

#include <atomic>
#include <memory>
#include <utility>

#include "net/http_response.h"
#include "net/server_exchange.h"

namespace heatherspan {

/// The right to answer one request, held by the copies of its responder.
template <class Connection>
class PendingResponse {
 public:
  PendingResponse(std::shared_ptr<Connection> connection, std::shared_ptr<ServerExchange> exchange)
      : connection_(std::move(connection)), exchange_(std::move(exchange)) {}

  ~PendingResponse() {
    // A handler that drops its responder must not leave the caller without an answer.
    HttpResponse response;
    response.status = 500;
    response.close = true;
    Answer(std::move(response));
  }

  PendingResponse(const PendingResponse&) = delete;
  auto operator=(const PendingResponse&) -> PendingResponse& = delete;

  auto Answer(HttpResponse response) -> void {
    if (!answered_.exchange(true)) connection_->Respond(exchange_, std::move(response));
  }

 private:
  const std::shared_ptr<Connection> connection_;
  const std::shared_ptr<ServerExchange> exchange_;
  std::atomic<bool> answered_{false};
};

}  // namespace heatherspan
