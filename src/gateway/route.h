#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// How a request may be retried when it is unknown whether it has run.
enum class RetryRule {
  kIdempotent,  ///< May run more than once.
  kAtMostOnce,  ///< May be retried only after a target stated that the request has not run.
};

/// A service that gets part of a route's requests.
struct WeightedService {
  ServiceName service;
  double weight = 1;
};

/// The rules for requests to a host and a path prefix.
struct Route {
  RouteName name;
  std::string host;         ///< In lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RetryRule retry_rule = RetryRule::kAtMostOnce;
  Duration timeout{};    ///< The longest time from a request's arrival to its response.
  Duration objective{};  ///< A response within this time is in time.
  int priority = 0;      ///< 0 is served first.
  int max_attempts = 1;  ///< Maximum number of targets at which one request may run.
  bool session_affinity = false;
  bool allow_anonymous = false;                    ///< Requests need no access key.
  std::vector<RegionName> allowed_regions;         ///< All regions if empty.
  std::vector<WeightedService> weighted_services;  ///< At least one.
};

}  // namespace heatherspan
