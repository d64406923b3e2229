#pragma once

#include <string_view>

#include "base/ip_address.h"

namespace heatherspan {

/// A caller's request for a list of entry VMs.
struct LookupQuery {
  std::string_view service;
  IpAddress client;
};

}  // namespace heatherspan
