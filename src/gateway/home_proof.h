#pragma once

#include <algorithm>

#include "base/time.h"
#include "gateway/route.h"
#include "gateway/team.h"
#include "gateway/traffic_policy.h"

namespace heatherspan {

/// Decides whether the regions that a request has to stay in are known to be in force. Load
/// pattern: an entry VM hears of changes late, because its link is full or the store is away, while
/// operators move a route from one region to another. What it would send to the former region must
/// not run there.
class HomeProof {
 public:
  /// All entry VMs know of a new configuration after this time, unless they hear nothing.
  auto SetBound(Duration bound) -> void { bound_ = bound; }

  auto Apply(const TrafficPolicy& policy) -> void {
    const auto is_restricted = [](const auto& item) { return !item.allowed_regions.empty(); };
    has_homes_ = std::any_of(policy.routes.begin(), policy.routes.end(), is_restricted) ||
                 std::any_of(policy.teams.begin(), policy.teams.end(), is_restricted);
  }

  /// Whether the configuration that was applied is the latest of the state.
  auto SetLatest(bool is_latest) -> void { is_latest_ = is_latest; }

  /// Whether any route or team has homes.
  auto has_homes() const -> bool { return has_homes_; }
  /// `age`: since when the state may lack changes.
  auto IsStale(Duration age) const -> bool { return !is_latest_ || age > bound_; }
  /// Whether a request of the route may be placed.
  auto Allows(const Route& route, Duration age) const -> bool {
    return route.allowed_regions.empty() || !IsStale(age);
  }

 private:
  Duration bound_ = std::chrono::milliseconds(2500);
  bool has_homes_ = false;
  bool is_latest_ = true;
};

}  // namespace heatherspan
