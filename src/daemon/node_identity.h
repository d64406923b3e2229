#pragma once

#include <cstdint>

#include "base/endpoint.h"
#include "base/ids.h"

namespace heatherspan {

/// The identity of this process, constant for its lifetime.
struct NodeIdentity {
  NodeName name;
  ZoneName zone;
  InstanceId instance;
  std::int64_t started_unix_ms = 0;
  Endpoint callers;
  Endpoint peers;
  Endpoint admin;
};

}  // namespace heatherspan
