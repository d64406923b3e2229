#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/route.h"

namespace heatherspan {

/// Divides a route's requests among its services by smooth weighted round robin. After any number
/// of requests each service's count is within one request of its weight, which random selection
/// doesn't guarantee.
class ServiceSelector {
 public:
  auto Select(const Route& route) -> const ServiceName&;
  /// Discards the state of routes that are not in the list.
  auto Retain(const std::vector<Route>& routes) -> void;

 private:
  struct Schedule {
    std::vector<WeightedService> weighted_services;  ///< The weights to which the credits belong.
    std::vector<double> credits;
  };

  absl::flat_hash_map<RouteName, Schedule> schedules_;
};

}  // namespace heatherspan
