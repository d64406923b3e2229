#pragma once

#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "gateway/entry_vm_directory.h"

namespace heatherspan {

/// Returns the peers whose state of the store this node compares with its own, in the order in
/// which it asks them. Most are in its region, where messages are cheap; one is elsewhere, because
/// the store may be out of reach of a whole region. The choice by rendezvous hashing is stable, so
/// that connections stay in use, and spreads the questions over all entry VMs.
auto SelectPeers(const std::vector<EntryVm>& vms, const NodeName& self, const RegionName& region)
    -> std::vector<Endpoint>;

}  // namespace heatherspan
