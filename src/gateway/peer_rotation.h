#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "gateway/peer_selection.h"

namespace heatherspan {

/// The order in which this node asks its peers for changes.
class PeerRotation {
 public:
  /// Takes over the peers, unless there are none: the announcements of all entry VMs may expire
  /// during an outage of the store, and the VMs still run.
  auto SetPeers(std::vector<Peer> peers) -> void {
    if (!peers.empty()) peers_ = std::move(peers);
  }
  auto Next() -> std::optional<Peer> {
    if (peers_.empty()) return std::nullopt;
    return peers_[next_++ % peers_.size()];
  }

 private:
  std::vector<Peer> peers_;
  std::size_t next_ = 0;
};

}  // namespace heatherspan
