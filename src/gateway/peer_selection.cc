#include "gateway/peer_selection.h"

#include <algorithm>
#include <cstddef>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// Two peers may be lost or cut off from the store together with this node.
constexpr std::size_t kPeerCount = 3;
constexpr std::size_t kMaxNearPeers = 2;

}  // namespace

auto SelectPeers(const std::vector<EntryVm>& vms, const NodeName& self, const RegionName& region)
    -> std::vector<Endpoint> {
  std::vector<const EntryVm*> near;
  std::vector<const EntryVm*> far;
  for (const auto& vm : vms) {
    if (vm.name == self || vm.peer_endpoint.address.empty()) continue;
    (vm.region == region ? near : far).push_back(&vm);
  }
  const auto rank = [&](std::vector<const EntryVm*>& peers) {
    const auto score = [&](const EntryVm* vm) {
      return RendezvousScore(StableHash(self.value()), StableHash(vm->name.value()));
    };
    std::sort(peers.begin(), peers.end(),
              [&](const auto* a, const auto* b) { return score(a) > score(b); });
  };
  rank(near);
  rank(far);
  const auto near_count = std::min(near.size(), far.empty() ? kPeerCount : kMaxNearPeers);
  const auto far_count = std::min(far.size(), kPeerCount - near_count);
  std::vector<Endpoint> peers;
  for (std::size_t i = 0; i < near_count; ++i) peers.push_back(near[i]->peer_endpoint);
  for (std::size_t i = 0; i < far_count; ++i) peers.push_back(far[i]->peer_endpoint);
  return peers;
}

}  // namespace heatherspan
