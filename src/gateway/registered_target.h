#pragma once

#include <cstdint>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// A target as it has registered itself.
struct RegisteredTarget {
  TargetName name;  ///< Of this instance; the target refuses requests that expect another one.
  ServiceName service;
  ZoneName zone;
  Endpoint endpoint;
  int slots = 1;              ///< Requests that it works on at the same time.
  bool draining = false;      ///< It is about to stop and must get no new requests.
  Duration cold_left{};       ///< How much longer it is slow after its start, when it registered.
  std::int64_t start_id = 0;  ///< Differs from one start to the next of the same instance.

  friend auto operator==(const RegisteredTarget&, const RegisteredTarget&) -> bool = default;
};

}  // namespace heatherspan
