#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "messages/header_field.h"

namespace heatherspan {

/// A caller's request on its way from the first entry VM to the one that fills the target's slot,
/// or to the owner of its ticket.
struct ForwardRequest {
  RequestId request_id;
  ServiceName service;
  RegionName home;  ///< The region of the caller's client block.
  ZoneName zone;    ///< The availability zone whose targets are to serve.
  std::string
      ticket;  ///< Set if the receiver is the owner of the ticket and has to start the request.
  std::uint32_t deadline_ms = 0;  ///< Time left when the message was sent.
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
  std::string body;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(request_id, service, home, zone, ticket, deadline_ms, method, path, headers, body);
  }
};

}  // namespace heatherspan
