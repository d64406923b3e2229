#pragma once

#include <optional>

#include "base/endpoint.h"
#include "base/ids.h"
#include "messages/member_state.h"

namespace heatherspan {

/// A running entry VM, as membership sees it.
struct LiveNode {
  NodeName name;
  InstanceId instance;
  ZoneName zone;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  MemberState state = MemberState::kAlive;
  std::optional<double> utilization;  ///< Used part of its targets' slots; nothing when unknown.
};

}  // namespace heatherspan
