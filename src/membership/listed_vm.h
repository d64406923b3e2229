#pragma once

#include "base/endpoint.h"

namespace heatherspan {

/// What the platform's VM list says of an entry VM. The list lags.
struct ListedVm {
  Endpoint peer_endpoint;
  bool leaving = false;
};

}  // namespace heatherspan
