#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/route.h"
#include "gateway/team.h"

namespace heatherspan {

/// The settings for all targets of a service.
struct ServicePolicy {
  ServiceName name;
  std::string health_path;
  int max_connections = 1;              ///< To one target, from all callers together.
  Duration cold_time{};                 ///< How long a target is cold after its start.
  double cold_requests_per_second = 0;  ///< The request rate that a cold target can handle.
};

/// Limits on the size and the duration of a caller's request.
struct CallerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// The operators' configuration as the entry VMs apply it.
struct TrafficPolicy {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<ServicePolicy> services;
  std::vector<Team> teams;  ///< If there are any, requests carry a key of a team.
  /// Teams whose entries can't be used, with the reason. Their callers are unknown.
  std::vector<std::string> rejected_teams;
  CallerLimits limits;

  auto RequiresKeys() const -> bool { return !teams.empty() || !rejected_teams.empty(); }
};

}  // namespace heatherspan
