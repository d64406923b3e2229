#pragma once

#include <optional>

#include "base/endpoint.h"
#include "base/ids.h"
#include "messages/member_state.h"

namespace heatherspan {

/// An entry VM that runs according to the membership protocol.
struct LiveNode {
  NodeName name;
  InstanceId instance;
  ZoneName zone;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  MemberState state = MemberState::kAlive;
  std::optional<double> utilization;  ///< Of the slots of its targets; empty when unknown.
};

}  // namespace heatherspan
