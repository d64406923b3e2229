#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/access_key_digest.h"

namespace heatherspan {

/// How many requests of a team may run, at all entry VMs together: `rate` and a burst beside it.
struct TeamQuota {
  RequestsPerSecond rate = RequestsPerSecond(0);  ///< Zero means no limit.
  double burst = 0;                               ///< Requests.

  auto is_limited() const -> bool { return rate.value() > 0; }
  friend auto operator==(const TeamQuota&, const TeamQuota&) -> bool = default;
};

/// A team, as the configuration names it.
struct Team {
  TeamName name;
  std::vector<AccessKeyDigest> keys;
  std::optional<int> priority;              ///< Replaces the priority of the route; 0 is first.
  std::vector<RegionName> allowed_regions;  ///< All regions if empty. Binds beside the route's.
  TeamQuota quota;
};

}  // namespace heatherspan
