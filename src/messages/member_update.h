#pragma once

#include <cstdint>

#include "base/endpoint.h"
#include "base/ids.h"
#include "messages/member_state.h"

namespace heatherspan {

/// What one entry VM says of another: the unit of membership gossip.
struct MemberUpdate {
  NodeName name;
  ZoneName zone;
  InstanceId instance;
  std::uint64_t incarnation = 0;  ///< Grows when the instance refutes a suspicion.
  MemberState state = MemberState::kAlive;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  std::int64_t started_unix_ms = 0;  ///< Wall-clock start of the instance, in milliseconds.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, zone, instance, incarnation, state, caller_endpoint, peer_endpoint,
            started_unix_ms);
  }
};

}  // namespace heatherspan
