#pragma once

#include "base/time.h"
#include "daemon/routed_request.h"
#include "messages/forward_request.h"
#include "messages/forward_response.h"
#include "net/peer_client.h"

namespace heatherspan {

/// The message that carries a request to a peer.
auto MakeForwardRequest(const RoutedRequest& request, MonotonicTime now) -> ForwardRequest;

/// The request in the message. Its deadline is counted from the arrival of the message.
auto MakeRoutedRequest(ForwardRequest message, bool idempotent, MonotonicTime now) -> RoutedRequest;

/// The response to a forwarded request. If the call failed, the verdict depends on whether any byte
/// was written.
auto InterpretForwardResult(PeerResult result) -> ForwardResponse;

}  // namespace heatherspan
