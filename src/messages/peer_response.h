#pragma once

#include <variant>

#include "messages/chunk_response.h"
#include "messages/forward_response.h"
#include "messages/manifest_response.h"
#include "messages/ticket_status_response.h"

namespace heatherspan {

/// The answers to peer requests. A cancel request has none; the cancelled request answers.
using PeerResponse =
    std::variant<ForwardResponse, ManifestResponse, ChunkResponse, TicketStatusResponse>;

}  // namespace heatherspan
