#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/listed_vm.h"
#include "membership/local_health.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/message_composer.h"
#include "membership/outgoing_datagram.h"
#include "membership/probe_order.h"
#include "membership/update_queue.h"
#include "messages/config_digest.h"
#include "messages/datagram.h"
#include "messages/member_update.h"
#include "messages/node_load.h"

namespace heatherspan {

/// Failure detection and gossip among entry VMs: SWIM with indirect probes, suspicion, incarnations
/// and Lifeguard's local health. The methods do no I/O. The caller sends the datagrams that the
/// methods return.
///
/// Not thread-safe.
class Membership {
 public:
  /// `self` describes the own instance; its state and incarnation are ignored. `seeds` are
  /// addresses to contact at any time; there need not be a live member at a seed.
  Membership(MemberUpdate self, std::vector<Endpoint> seeds);
  Membership(const Membership&) = delete;
  auto operator=(const Membership&) -> Membership& = delete;

  /// Must be called every kMembershipTick. A call that is late by more than kPauseLimit is treated
  /// as a pause of this process.
  auto OnTick(MonotonicTime now, Random& random) -> std::vector<OutgoingDatagram>;

  /// Handles a Ping, PingRequest or Ack; other datagrams are ignored. `sender` is the instance that
  /// the envelope authenticates. `from` is the source address of the datagram.
  auto OnDatagram(InstanceId sender, const Endpoint& from, const Datagram& datagram,
                  MonotonicTime now, Random& random) -> std::vector<OutgoingDatagram>;

  /// Handles the platform's list of entry VMs. A VM that is listed as leaving is marked as leaving.
  /// The absence of a member from the list shortens its suspicion period. The presence of a member
  /// in the list doesn't prove that the member is alive. Listed addresses are contacted like seeds.
  auto OnVmList(const std::vector<ListedVm>& vms, MonotonicTime now)
      -> std::vector<OutgoingDatagram>;

  /// Announces that this node is leaving. The returned datagrams inform some members directly;
  /// gossip informs the others.
  auto Leave(MonotonicTime now, Random& random) -> std::vector<OutgoingDatagram>;

  /// All members that are not dead, with the own instance first.
  auto Members() const -> std::vector<Member> { return table_.Members(); }

  /// Increases with each change of a member's state, addresses or direct link, so that the caller
  /// rebuilds data that depends on Members() only after such a change. A change of last_heard alone
  /// doesn't increase it.
  auto generation() const -> std::uint64_t { return table_.generation(); }

  /// Sets the configuration digest and the load report that subsequent messages carry.
  auto SetConfig(ConfigDigest digest) -> void { composer_.SetConfig(std::move(digest)); }
  auto SetLoad(NodeLoad load) -> void { composer_.SetLoad(std::move(load)); }

  /// The local health score for metrics, 0 (healthy) to LocalHealth::kMaxScore.
  auto health_score() const -> int { return health_.score(); }
  /// The number of records for metrics, including those of dead members.
  auto records() const -> std::size_t { return table_.size(); }

 private:
  using Outgoing = std::vector<OutgoingDatagram>;

  struct Probe {
    InstanceId subject;
    Endpoint endpoint;
    MonotonicTime sent;
    bool indirect = false;
  };
  /// A probe that this node sends on behalf of another member.
  struct Relay {
    InstanceId subject;
    Endpoint origin;
    InstanceId origin_instance;
    std::uint64_t origin_sequence = 0;
    MonotonicTime expires;
  };

  auto OnPause(MonotonicTime now) -> void;
  auto CheckProbes(MonotonicTime now, Random& random, Outgoing& out) -> void;
  auto StartProbe(InstanceId subject, MonotonicTime now, Outgoing& out) -> void;
  auto ProbeNext(MonotonicTime now, Random& random, Outgoing& out) -> void;
  auto ProbeIndirectly(std::uint64_t sequence, const Probe& probe, MonotonicTime now,
                       Random& random, Outgoing& out) -> void;
  auto Reconnect(MonotonicTime now, Random& random, Outgoing& out) -> void;
  auto SyncMemberList(MonotonicTime now, Random& random, Outgoing& out) -> void;
  auto PingAddress(const Endpoint& to, InstanceId receiver, MonotonicTime now, Outgoing& out)
      -> void;
  auto MergeUpdates(InstanceId sender, const std::vector<MemberUpdate>& updates, MonotonicTime now,
                    Random& random) -> void;
  auto OnPing(InstanceId sender, const Endpoint& from, const Ping& ping, MonotonicTime now,
              Outgoing& out) -> void;
  auto OnPingRequest(InstanceId sender, const Endpoint& from, const PingRequest& request,
                     MonotonicTime now, Outgoing& out) -> void;
  auto OnAck(InstanceId sender, const Ack& ack, MonotonicTime now, Outgoing& out) -> void;

  LocalHealth health_;
  UpdateQueue updates_;
  MemberTable table_;
  MessageComposer composer_;
  ProbeOrder order_;
  std::vector<Endpoint> seeds_;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::uint64_t next_sequence_ = 1;
  std::optional<MonotonicTime> last_tick_;
  MonotonicTime next_probe_;
  MonotonicTime next_reconnect_;
  MonotonicTime last_discovery_;
  bool syncing_ = true;
  InstanceId sync_peer_;  ///< The peer from which the member list is requested.
  MonotonicTime sync_peer_until_;
};

}  // namespace heatherspan
