#pragma once

#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "gateway/entry_vm_directory.h"

namespace heatherspan {

/// Whom a node asks for changes of the store, and whether it reads the store itself for its zone.
struct PeerSelection {
  bool is_reader = true;
  std::vector<Endpoint> zone_readers;  ///< Peers that read the store for the node's zone.
  std::vector<Endpoint> others;
  /// All announced peers, in an order that differs between nodes.
  std::vector<Endpoint> all;
};

/// One entry VM of each zone reads the store, so that its calls grow with the zones. The others of
/// the zone ask it. Readers, and VMs whose reader is silent, ask one peer in another zone of the
/// region and one in another region, because the store may be out of reach of a whole zone or
/// region. The choice by rendezvous hashing is stable, so that connections stay in use, and spreads
/// the questions over the entry VMs.
auto SelectPeers(const std::vector<EntryVm>& vms, const NodeName& self, const ZoneName& zone,
                 const RegionName& region) -> PeerSelection;

}  // namespace heatherspan
