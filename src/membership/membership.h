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

/// Which entry VMs are alive: SWIM with indirect probes, suspicion, incarnations and Lifeguard's
/// local health. All methods only compute; the caller sends the datagrams that they return.
///
/// Not thread-safe.
class Membership {
 public:
  /// `self` describes the own instance; its state and incarnation are ignored. Seeds are addresses
  /// to try at any time; they need not be alive.
  Membership(MemberUpdate self, std::vector<Endpoint> seeds);
  Membership(const Membership&) = delete;
  auto operator=(const Membership&) -> Membership& = delete;

  /// To be called every kMembershipTick. A call that is late by more than kPauseLimit is taken as a
  /// pause of the own process.
  auto OnTick(MonotonicTime now, Random& random) -> std::vector<OutgoingDatagram>;

  /// Takes in a Ping, PingRequest or Ack; other datagrams are ignored. The sender is the instance
  /// that the envelope authenticated, `from` the address that the datagram came from.
  auto OnDatagram(InstanceId sender, const Endpoint& from, const Datagram& datagram,
                  MonotonicTime now, Random& random) -> std::vector<OutgoingDatagram>;

  /// Takes in the platform's list of entry VMs. "Leaving" is accepted, absence shortens a
  /// suspicion, presence proves nothing. Its addresses are tried like seeds.
  auto OnVmList(const std::vector<ListedVm>& vms, MonotonicTime now)
      -> std::vector<OutgoingDatagram>;

  /// Announces that this node is leaving; at once to some members, then by gossip.
  auto Leave(MonotonicTime now, Random& random) -> std::vector<OutgoingDatagram>;

  /// The own instance first, then every other member that is not dead.
  auto Members() const -> std::vector<Member> { return table_.Members(); }

  /// Grows with each change of a member's state, addresses or direct link, so that the caller
  /// rebuilds what depends on Members() only then. A newer last_heard alone doesn't count.
  auto generation() const -> std::uint64_t { return table_.generation(); }

  /// What to put into later messages.
  auto SetConfig(ConfigDigest digest) -> void { composer_.SetConfig(std::move(digest)); }
  auto SetLoad(NodeLoad load) -> void { composer_.SetLoad(std::move(load)); }

  /// For metrics: the local health score, 0 (healthy) to LocalHealth::kMaxScore.
  auto health_score() const -> int { return health_.score(); }
  /// For metrics: the number of records, dead members included.
  auto records() const -> std::size_t { return table_.size(); }

 private:
  using Outgoing = std::vector<OutgoingDatagram>;

  struct Probe {
    InstanceId subject;
    Endpoint endpoint;
    MonotonicTime sent;
    bool indirect = false;
  };
  /// A probe on behalf of another member.
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
  InstanceId sync_peer_;  ///< The peer whose list is being learnt.
  MonotonicTime sync_peer_until_;
};

}  // namespace heatherspan
