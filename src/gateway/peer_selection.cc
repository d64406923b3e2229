#include "gateway/peer_selection.h"

#include <algorithm>
#include <cstddef>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

constexpr std::size_t kReadersPerZone = 1;

using Vms = std::vector<const EntryVm*>;

/// Moves the VMs with the highest scores for the key to the front.
auto RankFirst(Vms& vms, std::uint64_t key, std::size_t count) -> void {
  const auto score = [key](const EntryVm* vm) {
    return RendezvousScore(key, StableHash(vm->name.value()));
  };
  std::partial_sort(vms.begin(),
                    vms.begin() + static_cast<std::ptrdiff_t>(std::min(count, vms.size())),
                    vms.end(), [&](const auto* a, const auto* b) { return score(a) > score(b); });
  vms.resize(std::min(count, vms.size()));
}

}  // namespace

auto SelectPeers(const std::vector<EntryVm>& vms, const NodeName& self, const ZoneName& zone,
                 const RegionName& region) -> PeerSelection {
  Vms readers;
  Vms all;
  Vms near;
  Vms far;
  bool is_announced = false;
  for (const auto& vm : vms) {
    if (vm.peer_endpoint.address.empty()) continue;
    if (vm.name == self) {
      is_announced = true;
    } else {
      all.push_back(&vm);
    }
    if (vm.zone == zone) {
      readers.push_back(&vm);
    } else {
      (vm.region == region ? near : far).push_back(&vm);
    }
  }
  const auto own_key = StableHash(self.value());
  RankFirst(readers, StableHash(zone.value()), kReadersPerZone);
  RankFirst(near, own_key, 1);
  // A region of a single zone has no near peer.
  RankFirst(far, own_key, near.empty() ? 2 : 1);
  RankFirst(all, own_key, all.size());
  PeerSelection selection;
  selection.is_reader = !is_announced;
  for (const auto* vm : readers) {
    if (vm->name == self) {
      selection.is_reader = true;
    } else {
      selection.zone_readers.push_back(vm->peer_endpoint);
    }
  }
  for (const auto* vm : near) selection.others.push_back(vm->peer_endpoint);
  for (const auto* vm : far) selection.others.push_back(vm->peer_endpoint);
  for (const auto* vm : all) selection.all.push_back(vm->peer_endpoint);
  return selection;
}

}  // namespace heatherspan
