#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "membership/listed_vm.h"
#include "membership/local_health.h"
#include "membership/member.h"
#include "membership/update_queue.h"
#include "messages/member_update.h"

namespace heatherspan {

/// The records of all known members, and the rules by which gossiped updates change them.
///
/// An update that reports a member as suspected or dead only makes this node suspect the member.
/// This node declares the member dead only after its own direct and indirect probes have failed. A
/// single slow or disconnected observer therefore can't remove a member from the tables of others.
class MemberTable {
 public:
  MemberTable(MemberUpdate self, LocalHealth& health, UpdateQueue& updates);

  /// Merges a peer's update about a member. `from_member_itself` tells whether that peer is the
  /// member.
  auto Merge(const MemberUpdate& update, bool from_member_itself, MonotonicTime now) -> void;

  /// Called when a datagram arrived directly from the member.
  auto OnDatagramReceived(InstanceId instance, MonotonicTime now) -> void;
  auto OnProbeAnswered(InstanceId instance, bool direct) -> void;
  auto OnProbeFailed(InstanceId instance, MonotonicTime now) -> void;
  /// Called when another instance answered at the member's address.
  auto OnReplaced(InstanceId instance, MonotonicTime now) -> void;
  auto OnVmList(const std::vector<ListedVm>& vms, MonotonicTime now) -> void;

  /// Restarts all suspicion periods after a pause of this process, because the process may have
  /// missed answers during the pause.
  auto RestartSuspicions(MonotonicTime now) -> void;
  /// Declares members dead whose suspicion has expired, and removes the records of members that
  /// have been dead for longer than kDeadRecordRetention.
  auto OnTick(MonotonicTime now) -> void;

  auto MarkSelfLeaving() -> void;

  auto self() const -> const MemberUpdate& { return self_; }
  auto Find(InstanceId instance) const -> const MemberUpdate*;
  /// Whether the member joined within the last kNewMemberTime or is unknown.
  auto IsNewMember(InstanceId instance, MonotonicTime now) const -> bool;
  auto FindLiveAt(const Endpoint& endpoint) const -> const MemberUpdate*;
  auto FindDeadAt(const Endpoint& endpoint) const -> const MemberUpdate*;

  /// All members that are not dead, without the own instance.
  auto LiveInstances() const -> std::vector<InstanceId>;
  auto live_count() const -> std::size_t { return live_count_; }
  auto size() const -> std::size_t { return records_.size(); }
  /// All members that are not dead, with the own instance first.
  auto Members() const -> std::vector<Member>;

  /// Takes the next member to probe outside the regular order: a suspected member, or a member that
  /// is dead in this table and alive according to another node.
  auto TakeMemberToVerify(MonotonicTime now) -> std::optional<InstanceId>;
  /// The addresses of dead members and of the VM list, without those of live members and of this
  /// node. Members that are unknown or dead in this table may answer there.
  auto ReconnectAddresses() const -> std::vector<Endpoint>;
  /// The record that follows the given instance in the order of instance ids. Dead and suspected
  /// members are skipped. The order wraps around.
  auto NextAlive(InstanceId after) const -> const MemberUpdate*;
  /// Takes the instances that joined since the previous call.
  auto TakeJoined() -> std::vector<InstanceId>;

  /// Increases with each change of a member's state, addresses or direct link.
  auto generation() const -> std::uint64_t { return generation_; }

 private:
  struct Record {
    MemberUpdate update;
    MonotonicTime joined;
    std::optional<MonotonicTime> last_heard;
    bool direct_link_cut = false;
    std::optional<MonotonicTime> suspected_since;
    int failed_probes = 0;  ///< By this node, since the suspicion began.
    bool declared_dead_by_peer = false;
    std::optional<MonotonicTime> dead_since;
    MonotonicTime last_verification;
  };

  auto MergeSelf(const MemberUpdate& update) -> void;
  auto MergeUnknown(const MemberUpdate& update, bool from_member_itself, MonotonicTime now) -> void;
  auto MergeKnown(Record& record, const MemberUpdate& update, bool from_member_itself,
                  MonotonicTime now) -> void;
  auto ReplaceSameVm(const MemberUpdate& update, bool from_member_itself, MonotonicTime now)
      -> bool;
  auto Index(const MemberUpdate& update) -> void;
  auto Unindex(const MemberUpdate& update) -> void;
  auto Revive(Record& record, const MemberUpdate& update, bool from_member_itself,
              MonotonicTime now) -> void;
  auto MarkSuspected(Record& record, bool declared_dead_by_peer, MonotonicTime now) -> void;
  auto MarkDead(Record& record, MonotonicTime now) -> void;
  auto IsSuspicionExpired(const Record& record, MonotonicTime now) const -> bool;
  auto OnRecordChanged(const Record& record) -> void;
  auto RemoveOldDeadRecords(MonotonicTime now) -> void;
  auto ClearSuspicion(Record& record) -> void;
  auto EvictIfFull() -> bool;

  MemberUpdate self_;
  LocalHealth& health_;
  UpdateQueue& updates_;
  std::map<InstanceId, Record> records_;
  /// Members that are not dead, by name and by address. Each name and each address is unique.
  std::map<NodeName, InstanceId> live_by_name_;
  std::map<Endpoint, InstanceId> live_by_address_;
  std::set<InstanceId> suspected_;
  std::deque<InstanceId> disputed_;  ///< Dead in this table, alive according to other nodes.
  std::vector<InstanceId> joined_;
  std::set<Endpoint> listed_;  ///< Addresses in the VM list; empty without a list.
  std::size_t live_count_ = 0;
  std::uint64_t generation_ = 0;
  MonotonicTime next_cleanup_;
};

}  // namespace heatherspan
