#pragma once

#include <string_view>

#include "base/ip_address.h"

namespace heatherspan {

/// A caller's question which entry VMs to use.
struct LookupQuery {
  std::string_view service;
  IpAddress client;
};

}  // namespace heatherspan
