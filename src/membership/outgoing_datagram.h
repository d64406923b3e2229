#pragma once

#include "base/endpoint.h"
#include "messages/datagram.h"

namespace heatherspan {

/// A datagram to send to a peer.
struct OutgoingDatagram {
  Endpoint to;
  Datagram datagram;
};

}  // namespace heatherspan
