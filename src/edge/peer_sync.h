#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "edge/platform_ports.h"
#include "gateway/peer_rotation.h"
#include "net/http_client.h"
#include "net/worker_pool.h"

namespace heatherspan {

/// Asks other entry VMs for the changes that they have read from the store and this node has not.
/// The store may turn this node away, be slow or leave a call without an answer while it serves
/// others. Peers are asked all the time, since an unanswered call looks like a store without
/// changes until it times out.
template <GatewayStore Store>
class PeerSync {
 public:
  /// One peer is asked in each interval, in turn. With four peers, of which one has the state, a
  /// change arrives within half of the shortest time in which configurations have to be in force.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(300);

  /// Returns the revision up to which this node has the state, or nothing before the first listing.
  using RevisionCallback = std::function<std::optional<std::uint64_t>()>;
  using PeersCallback = std::function<std::vector<Peer>()>;
  using OnChanges = std::function<void(const Peer& peer, StoreChanges changes)>;

  PeerSync(HttpClient& client, WorkerPool& workers, RevisionCallback revision, PeersCallback peers,
           OnChanges on_changes)
      : client_(client),
        workers_(workers),
        revision_(std::move(revision)),
        peers_(std::move(peers)),
        on_changes_(std::move(on_changes)) {}

  auto Start() -> void {
    timer_ = workers_.RunEvery(kPollInterval, [this] { AskNext(); });
  }

 private:
  auto AskNext() -> void {
    const auto revision = revision_();
    if (!revision.has_value()) return;
    rotation_.SetPeers(peers_());
    const auto peer = rotation_.Next();
    if (!peer.has_value() || !asked_.insert(peer->endpoint.Text()).second) return;
    Store(client_, peer->endpoint)
        .Watch(*revision, Duration::zero(),
               [this, peer = *peer](absl::StatusOr<StoreChanges> changes) {
                 asked_.erase(peer.endpoint.Text());
                 // A peer that doesn't answer or lacks the history is asked again in its turn.
                 if (changes.ok()) on_changes_(peer, *std::move(changes));
               });
  }

  HttpClient& client_;
  WorkerPool& workers_;
  const RevisionCallback revision_;
  const PeersCallback peers_;
  const OnChanges on_changes_;
  PeerRotation rotation_;
  absl::flat_hash_set<std::string> asked_;  ///< Peers that have yet to answer.
  std::shared_ptr<WorkerPool::Timer> timer_;
};

}  // namespace heatherspan
