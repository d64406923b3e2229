#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "daemon/node_identity.h"
#include "membership/member.h"
#include "membership/membership.h"
#include "messages/config_digest.h"
#include "messages/node_load.h"
#include "net/udp_socket.h"
#include "net/worker_pool.h"

namespace heatherspan {

class MetricsRegistry;

/// Runs the membership protocol over the UDP socket and passes share messages on. Thread-safe;
/// `mutex_` is the membership lock, the first in the lock order. Callbacks are called without the
/// lock.
class MembershipService {
 public:
  struct Callbacks {
    std::function<void()> members_changed;
    /// Called for each message that contains the digest of the configuration in force at its
    /// sender.
    std::function<void(InstanceId sender, const ConfigDigest& digest)> digest_seen;
    std::function<void(const NodeLoad& load)> load_seen;
    std::function<void(const Endpoint& from, const ShareRequest& request)> share_requested;
    std::function<void(const ShareGrant& grant)> share_granted;
  };

  /// The socket must be bound, and the identity's endpoints must be final.
  MembershipService(WorkerPool& workers, UdpSocket& socket, const NodeIdentity& identity,
                    std::vector<Endpoint> seeds, MetricsRegistry& metrics, Callbacks callbacks,
                    std::uint64_t seed);

  auto Start() -> void;
  auto Stop() -> void;

  auto OnDatagram(InstanceId sender, const Endpoint& from, const Datagram& datagram) -> void;
  auto Leave() -> void;
  auto OnVmList(const std::vector<ListedVm>& vms) -> void;
  auto SetConfig(const ConfigDigest& digest) -> void;
  auto SetLoad(NodeLoad load) -> void;
  auto Send(const Endpoint& to, const Datagram& datagram) -> void;

  auto Members() const -> std::vector<Member>;
  auto PublishMetrics() const -> void;

 private:
  auto OnTick() -> void;
  auto Dispatch(InstanceId sender, const Endpoint& from, const Datagram& datagram) -> void;
  auto SendAll(const std::vector<OutgoingDatagram>& datagrams) -> void;
  auto NotifyIfChanged() -> void;

  WorkerPool& workers_;
  MetricsRegistry& metrics_;
  Callbacks callbacks_;
  SystemClock clock_;
  UdpSocket& socket_;
  std::shared_ptr<WorkerPool::Timer> timer_;

  mutable std::mutex mutex_;
  Random random_;
  Membership membership_;
  std::uint64_t reported_generation_ = 0;
};

}  // namespace heatherspan
