#pragma once

#include "base/endpoint.h"
#include "messages/datagram.h"

namespace heatherspan {

/// A datagram to send, with its destination address.
struct OutgoingDatagram {
  Endpoint to;
  Datagram datagram;
};

}  // namespace heatherspan
