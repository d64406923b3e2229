#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// What may be done with a request whose fate is unknown.
enum class RetryRule {
  kIdempotent,  ///< May run more than once.
  kAtMostOnce,  ///< May be sent again only after a target said that it has not run.
};

/// One of the services among which a route divides its requests.
struct WeightedService {
  ServiceName service;
  double weight = 1;
};

/// Where requests for a host and a path prefix go, and how they are to be treated.
struct Route {
  RouteName name;
  std::string host;         ///< In lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RetryRule retry_rule = RetryRule::kAtMostOnce;
  Duration timeout{};    ///< The longest time that a request is kept waiting.
  Duration objective{};  ///< A response within this time is in time.
  int priority = 0;      ///< 0 is served first.
  int max_attempts = 1;  ///< The most targets at which one request may run.
  bool session_affinity = false;
  std::vector<RegionName> allowed_regions;         ///< Empty: all.
  std::vector<WeightedService> weighted_services;  ///< At least one.
};

}  // namespace heatherspan
