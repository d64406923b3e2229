#include "daemon/peer_api.h"

#include <utility>
#include <variant>

#include "daemon/config_service.h"
#include "daemon/executor.h"
#include "daemon/forward_results.h"
#include "daemon/leave_state.h"
#include "daemon/peer_calls.h"
#include "daemon/published_configuration.h"
#include "daemon/ticket_service.h"

namespace heatherspan {

PeerApi::PeerApi(const PublishedConfiguration& configuration, Executor& executor,
                 TicketService& tickets, ConfigService& config, const LeaveState& leave_state)
    : configuration_(configuration),
      executor_(executor),
      tickets_(tickets),
      config_(config),
      leave_state_(leave_state) {}

auto PeerApi::Handle(InstanceId /*sender*/, PeerRequest request, PeerServer::Responder responder)
    -> void {
  std::visit([&](auto& message) { Answer(std::move(message), std::move(responder)); }, request);
}

auto PeerApi::Answer(ForwardRequest request, Responder responder) -> void {
  const bool for_owner = !request.ticket.empty();
  if (leave_state_.is_refusing() || configuration_.Current() == nullptr) {
    // As the owner of the ticket, this node may have run an earlier attempt.
    const auto verdict = for_owner ? Verdict::kMayHaveRun : Verdict::kNotRun;
    return responder(RefusalForwardResponse(
        verdict, leave_state_.is_refusing() ? Reason::kLeaving : Reason::kNoConfiguration));
  }
  auto callback = [responder = std::move(responder)](ForwardResponse response) {
    responder(std::move(response));
  };
  const auto ticket = std::move(request.ticket);
  auto routed = MakeRoutedRequest(std::move(request), !for_owner, clock_.Now());
  if (for_owner) return tickets_.RunAsOwner(ticket, std::move(routed), std::move(callback));
  executor_.Execute(std::move(routed), std::move(callback));
}

auto PeerApi::Answer(const ManifestRequest& /*request*/, const Responder& responder) -> void {
  responder(ManifestResponse{config_.EncodedManifest()});
}

auto PeerApi::Answer(const ChunkRequest& request, const Responder& responder) -> void {
  responder(ChunkResponse{config_.Chunks(request.hashes)});
}

auto PeerApi::Answer(const TicketStatusRequest& request, const Responder& responder) -> void {
  const auto status = tickets_.LocalStatus(request.ticket);
  TicketStatusResponse response;
  if (status.ok()) {
    response.known = status->known;
    response.running = status->running;
    response.verdict = status->outcome.verdict;
    response.reason = status->outcome.reason;
    response.status = status->outcome.status;
  }
  responder(response);
}

auto PeerApi::Answer(const CancelRequest& /*request*/, const Responder& responder) -> void {
  // No node sends this message yet. The deadline that each request carries ends it at the target.
  responder(ForwardResponse{});
}

}  // namespace heatherspan
