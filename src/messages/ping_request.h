#pragma once

#include <cstdint>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "messages/member_update.h"

namespace heatherspan {

/// Asks a peer to probe another member on behalf of the sender.
struct PingRequest {
  std::uint64_t sequence = 0;
  InstanceId subject;
  Endpoint subject_endpoint;
  std::vector<MemberUpdate> updates;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, subject, subject_endpoint, updates);
  }
};

}  // namespace heatherspan
