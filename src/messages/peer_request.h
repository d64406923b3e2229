#pragma once

#include <variant>

#include "messages/cancel_request.h"
#include "messages/chunk_request.h"
#include "messages/forward_request.h"
#include "messages/manifest_request.h"
#include "messages/ticket_status_request.h"

namespace heatherspan {

/// Everything that an entry VM asks a peer over TCP.
using PeerRequest =
    std::variant<ForwardRequest, ManifestRequest, ChunkRequest, TicketStatusRequest, CancelRequest>;

}  // namespace heatherspan
