#include "gateway/relay_peers.h"

#include <algorithm>

namespace heatherspan {

auto RelayPeers::Choose(const std::vector<EntryVm>& vms, const NodeName& self,
                        const NodeLocation& location, const Route& route,
                        const ServiceName& service, MonotonicTime now, Random& random)
    -> std::optional<EntryVm> {
  absl::erase_if(blocked_until_, [now](const auto& entry) { return entry.second <= now; });
  const auto& allowed = route.allowed_regions;
  const EntryVm* chosen = nullptr;
  int best_distance = 0;
  std::uint64_t equal = 0;
  for (const auto& vm : vms) {
    if (vm.name == self || vm.peer_endpoint.address.empty() || !vm.reaches_targets ||
        blocked_until_.contains({vm.name, service})) {
      continue;
    }
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), vm.region) == allowed.end()) {
      continue;
    }
    const int distance = vm.zone == location.zone ? 0 : vm.region == location.region ? 1 : 2;
    if (chosen != nullptr && distance > best_distance) continue;
    if (chosen == nullptr || distance < best_distance) equal = 0;
    best_distance = distance;
    ++equal;
    if (random() % equal == 0) chosen = &vm;
  }
  return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

}  // namespace heatherspan
