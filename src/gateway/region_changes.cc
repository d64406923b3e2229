#include "gateway/region_changes.h"

#include <set>

#include "absl/container/flat_hash_map.h"

namespace heatherspan {

auto RegionChanges(const TrafficPolicy& before, const TrafficPolicy& after)
    -> std::vector<RegionChange> {
  absl::flat_hash_map<RouteName, const Route*> earlier;
  for (const auto& route : before.routes) earlier[route.name] = &route;
  std::vector<RegionChange> changes;
  for (const auto& route : after.routes) {
    const auto found = earlier.find(route.name);
    if (found == earlier.end()) continue;
    const auto& from = found->second->allowed_regions;
    const auto& to = route.allowed_regions;
    if (from == to || std::set(from.begin(), from.end()) == std::set(to.begin(), to.end())) {
      continue;
    }
    changes.push_back({route.name, from, to});
  }
  return changes;
}

}  // namespace heatherspan
