#pragma once

#include <optional>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/route.h"
#include "gateway/traffic_policy.h"

namespace heatherspan {

/// Decides for which team a request is served, and by which rules.
class TeamAccess {
 public:
  enum class Outcome {
    kAllowed,
    kUnknownKey,    ///< No team holds the key.
    kStaleKeys,     ///< The configuration is too old to tell.
    kNoRegionLeft,  ///< The route and the team allow no common region.
  };
  struct Ruling {
    Outcome outcome = Outcome::kAllowed;
    std::optional<TeamName> team;
    Route route;  ///< With the team's priority, and within the team's regions.
  };

  /// Takes over the teams of a configuration.
  auto Apply(const TrafficPolicy& policy) -> void;
  /// `age`: how old the configuration can be.
  auto Rule(const Route& route, std::string_view key, Duration age) const -> Ruling;
};

}  // namespace heatherspan
