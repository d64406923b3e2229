#pragma once

#include "base/time.h"
#include "net/peer_server.h"

namespace heatherspan {

class ConfigService;
class Executor;
class LeaveState;
class PublishedConfiguration;
class TicketService;

/// Answers the requests of peers over TCP. Thread-safe.
class PeerApi {
 public:
  PeerApi(const PublishedConfiguration& configuration, Executor& executor, TicketService& tickets,
          ConfigService& config, const LeaveState& leave_state);

  auto Handle(InstanceId sender, PeerRequest request, PeerServer::Responder responder) -> void;

 private:
  using Responder = PeerServer::Responder;

  auto Answer(ForwardRequest request, Responder responder) -> void;
  auto Answer(const ManifestRequest& request, const Responder& responder) -> void;
  auto Answer(const ChunkRequest& request, const Responder& responder) -> void;
  auto Answer(const TicketStatusRequest& request, const Responder& responder) -> void;
  auto Answer(const CancelRequest& request, const Responder& responder) -> void;

  const PublishedConfiguration& configuration_;
  Executor& executor_;
  TicketService& tickets_;
  ConfigService& config_;
  const LeaveState& leave_state_;
  SystemClock clock_;
};

}  // namespace heatherspan
