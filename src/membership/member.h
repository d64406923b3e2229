#pragma once

#include <cstdint>
#include <optional>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "messages/member_state.h"

namespace heatherspan {

/// An entry VM as this node sees it.
struct Member {
  NodeName name;
  ZoneName zone;
  InstanceId instance;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  MemberState state = MemberState::kAlive;
  std::int64_t started_unix_ms = 0;
  /// When a datagram last came from it directly; empty if none has.
  std::optional<MonotonicTime> last_heard;
  /// The last probe was answered through other members only. Requests must not be sent to it over
  /// the direct link.
  bool direct_link_cut = false;
};

}  // namespace heatherspan
