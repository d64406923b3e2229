#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

namespace heatherspan {

/// A backend server of a service.
struct Target {
  TargetName name;
  ZoneName zone;
  Endpoint endpoint;

  friend auto operator==(const Target&, const Target&) -> bool = default;
};

}  // namespace heatherspan
