#pragma once

#include "base/time.h"
#include "daemon/routed_request.h"
#include "messages/forward_request.h"
#include "messages/forward_response.h"
#include "net/peer_client.h"

namespace heatherspan {

/// The message that carries a request to a peer.
auto MakeForwardRequest(const RoutedRequest& request, MonotonicTime now) -> ForwardRequest;

/// The request that a message carries. Its deadline is counted from its arrival.
auto MakeRoutedRequest(ForwardRequest message, bool idempotent, MonotonicTime now) -> RoutedRequest;

/// The result of a forwarded request, with the verdict that its progress allows.
auto InterpretForwardResult(PeerResult result) -> ForwardResponse;

}  // namespace heatherspan
