#pragma once

#include <optional>

#include "base/ids.h"
#include "gateway/forwarded_request.h"
#include "gateway/route.h"
#include "gateway/team_access.h"

namespace heatherspan {

/// What a request takes from a configuration that came into force after its arrival. Load pattern:
/// requests wait, are retried and come back from other entry VMs for seconds, and homes move
/// meanwhile.
class InFlightRules {
 public:
  /// Returns the route to rule by. `in_force`: the one that the request has now; null if none, so
  /// that only the team's regions can have changed.
  static auto RouteFor(const ForwardedRequest& request, const Route* in_force) -> Route;
  /// Keeps the request to what both its arrival and the ruling by the configuration in force allow.
  /// Returns whether it may be sent. `team`: that it was admitted for.
  static auto Apply(ForwardedRequest& request, const std::optional<TeamName>& team,
                    ConfigVersion in_force, const TeamAccess::Ruling& ruling) -> bool;
};

}  // namespace heatherspan
