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

/// The records of all known members, and the rules by which news changes them.
///
/// News of a suspicion or a death is not believed by itself: the member is suspected, and this node
/// has to fail to reach it, directly and through others, before it declares the member dead. One
/// slow or cut-off observer can therefore not remove a member from the views of others.
class MemberTable {
 public:
  MemberTable(MemberUpdate self, LocalHealth& health, UpdateQueue& updates);

  /// Takes in what a peer says of a member. `from_member_itself` means that the member itself says
  /// it.
  auto Merge(const MemberUpdate& update, bool from_member_itself, MonotonicTime now) -> void;

  /// A datagram came from the member itself.
  auto OnDatagramReceived(InstanceId instance, MonotonicTime now) -> void;
  auto OnProbeAnswered(InstanceId instance, bool direct) -> void;
  auto OnProbeFailed(InstanceId instance, MonotonicTime now) -> void;
  /// Another instance answered at the member's address.
  auto OnReplaced(InstanceId instance, MonotonicTime now) -> void;
  auto OnVmList(const std::vector<ListedVm>& vms, MonotonicTime now) -> void;

  /// After a pause: suspicions start anew, because answers may have been missed.
  auto RestartSuspicions(MonotonicTime now) -> void;
  /// Declares suspected members dead whose time is over, and forgets long dead ones.
  auto OnTick(MonotonicTime now) -> void;

  /// Marks the own instance as leaving.
  auto MarkSelfLeaving() -> void;

  auto self() const -> const MemberUpdate& { return self_; }
  auto Find(InstanceId instance) const -> const MemberUpdate*;
  /// Whether the member joined within kNewMemberTime, or is unknown.
  auto IsNewMember(InstanceId instance, MonotonicTime now) const -> bool;
  auto FindLiveAt(const Endpoint& endpoint) const -> const MemberUpdate*;
  auto FindDeadAt(const Endpoint& endpoint) const -> const MemberUpdate*;

  /// Every member that is not dead, without the own instance.
  auto LiveInstances() const -> std::vector<InstanceId>;
  auto live_count() const -> std::size_t { return live_count_; }
  auto size() const -> std::size_t { return records_.size(); }
  /// Every member that is not dead, the own instance first.
  auto Members() const -> std::vector<Member>;

  /// Takes the next member to probe because of a doubt: suspected, or held dead here and alive
  /// elsewhere.
  auto TakeMemberToVerify(MonotonicTime now) -> std::optional<InstanceId>;
  /// Addresses to try for members that this node doesn't know or holds dead.
  auto ReconnectAddresses() const -> std::vector<Endpoint>;
  /// The record after the given instance in a fixed order, skipping dead and suspected ones.
  auto NextAlive(InstanceId after) const -> const MemberUpdate*;
  /// Takes the instances that joined since the last call.
  auto TakeJoined() -> std::vector<InstanceId>;

  /// Grows with each visible change of the members.
  auto generation() const -> std::uint64_t { return generation_; }

 private:
  struct Record {
    MemberUpdate update;
    MonotonicTime joined;
    std::optional<MonotonicTime> last_heard;
    bool direct_link_cut = false;
    std::optional<MonotonicTime> suspected_since;
    int failed_probes = 0;               ///< By this node, since the suspicion began.
    bool declared_dead_by_peer = false;  ///< Another node declared it dead.
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
  /// Of the members that are not dead; at most one has a name or an address.
  std::map<NodeName, InstanceId> live_by_name_;
  std::map<Endpoint, InstanceId> live_by_address_;
  std::set<InstanceId> suspected_;
  std::deque<InstanceId> disputed_;  ///< Held dead here, called alive by others.
  std::vector<InstanceId> joined_;
  std::set<Endpoint> listed_;  ///< Of the VM list; empty without one.
  std::size_t live_count_ = 0;
  std::uint64_t generation_ = 0;
  MonotonicTime next_cleanup_;
};

}  // namespace heatherspan
