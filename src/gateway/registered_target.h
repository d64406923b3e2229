#pragma once

#include <cstdint>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// A target as it registers itself.
struct RegisteredTarget {
  TargetName name;  ///< Of the instance. Requests that expect another instance are refused.
  ServiceName service;
  ZoneName zone;
  Endpoint endpoint;
  int slots = 1;              ///< Requests that the target processes concurrently.
  bool draining = false;      ///< The target is about to stop and must get no new requests.
  Duration cold_left{};       ///< Remaining warm-up time when the target registered.
  std::int64_t start_id = 0;  ///< Differs between the starts of the same instance.

  friend auto operator==(const RegisteredTarget&, const RegisteredTarget&) -> bool = default;
};

}  // namespace heatherspan
