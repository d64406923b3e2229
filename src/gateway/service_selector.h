#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/route.h"

namespace heatherspan {

/// Divides a route's requests among its services by smooth weighted round robin: after any number
/// of requests each service has had its share to within one request, which random draws don't give.
class ServiceSelector {
 public:
  auto Select(const Route& route) -> const ServiceName&;
  /// Forgets the routes that are not in the list.
  auto Retain(const std::vector<Route>& routes) -> void;

 private:
  struct Schedule {
    std::vector<WeightedService> weighted_services;  ///< Those that the credits belong to.
    std::vector<double> credits;
  };

  absl::flat_hash_map<RouteName, Schedule> schedules_;
};

}  // namespace heatherspan
