#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "messages/peer_request.h"
#include "messages/peer_response.h"

namespace heatherspan {

class WorkerPool;

/// Accepts peer links over TCP. Each frame is authenticated and carries a correlation id, so that
/// answers may leave in any order.
class PeerServer {
 public:
  using Responder = std::function<void(PeerResponse)>;
  using Handler = std::function<void(InstanceId sender, PeerRequest request, Responder responder)>;

  PeerServer(WorkerPool& workers, InstanceId self, std::string key, Handler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  auto operator=(const PeerServer&) -> PeerServer& = delete;

  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;
  auto Stop() -> void;
  /// Requests handed to the handler and not yet answered.
  auto active_requests() const -> std::size_t;
  auto rejected_frames() const -> std::uint64_t;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
