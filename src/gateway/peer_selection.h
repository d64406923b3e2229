#pragma once

#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "gateway/entry_vm_directory.h"

namespace heatherspan {

/// A peer that this node asks for changes of the store.
struct Peer {
  Endpoint endpoint;
  bool is_zone_reader = false;  ///< Reads the store for the zone of this node.

  friend auto operator==(const Peer&, const Peer&) -> bool = default;
};

/// Whom a node asks for changes, and whether it reads the store itself for its zone.
struct PeerSelection {
  bool is_reader = false;
  std::vector<Peer> peers;  ///< In the order in which they are asked.
};

/// Few entry VMs of each zone read the store, so that its calls grow with the zones. The others ask
/// these readers, and all ask one peer in another zone of the region and one in another region,
/// because the store may be out of reach of a whole zone or region. The choice by rendezvous
/// hashing is stable, so that connections stay in use, and spreads the questions over the entry
/// VMs.
auto SelectPeers(const std::vector<EntryVm>& vms, const NodeName& self, const ZoneName& zone,
                 const RegionName& region) -> PeerSelection;

}  // namespace heatherspan
