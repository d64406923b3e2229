#pragma once

#include <cstdint>
#include <optional>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "messages/member_state.h"

namespace heatherspan {

/// An entry VM as observed by this node.
struct Member {
  NodeName name;
  ZoneName zone;
  InstanceId instance;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  MemberState state = MemberState::kAlive;
  std::int64_t started_unix_ms = 0;
  /// The time of the last datagram that came directly from the member; empty if there was none.
  std::optional<MonotonicTime> last_heard;
  /// Whether the last probe was answered only through other members. Requests must not be sent to
  /// such a member over the direct link.
  bool direct_link_cut = false;
};

}  // namespace heatherspan
