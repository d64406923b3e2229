#pragma once

#include <variant>

#include "messages/ack.h"
#include "messages/ping.h"
#include "messages/ping_request.h"
#include "messages/share_grant.h"
#include "messages/share_request.h"

namespace heatherspan {

/// Everything that entry VMs send each other over UDP.
using Datagram = std::variant<Ping, PingRequest, Ack, ShareRequest, ShareGrant>;

}  // namespace heatherspan
