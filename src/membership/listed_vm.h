#pragma once

#include "base/endpoint.h"

namespace heatherspan {

/// An entry VM in the platform's VM list. The list lags behind the actual state.
struct ListedVm {
  Endpoint peer_endpoint;
  bool leaving = false;
};

}  // namespace heatherspan
