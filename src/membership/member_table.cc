#include "membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "membership/membership_timing.h"

namespace heatherspan {
namespace {

auto IsNewer(const MemberUpdate& a, const MemberUpdate& b) -> bool {
  return std::tie(a.incarnation, a.state) > std::tie(b.incarnation, b.state);
}

auto StartedLater(const MemberUpdate& a, const MemberUpdate& b) -> bool {
  return std::tie(a.started_unix_ms, a.instance) > std::tie(b.started_unix_ms, b.instance);
}

auto IsSameVm(const MemberUpdate& a, const MemberUpdate& b) -> bool {
  return a.name == b.name || a.peer_endpoint == b.peer_endpoint;
}

}  // namespace

MemberTable::MemberTable(MemberUpdate self, LocalHealth& health, UpdateQueue& updates)
    : self_(std::move(self)), health_(health), updates_(updates) {
  self_.incarnation = 0;
  self_.state = MemberState::kAlive;
  updates_.Push(self_);
}

auto MemberTable::Merge(const MemberUpdate& update, bool from_member_itself, MonotonicTime now)
    -> void {
  if (update.instance == self_.instance) {
    MergeSelf(update);
  } else if (const auto found = records_.find(update.instance); found != records_.end()) {
    MergeKnown(found->second, update, from_member_itself, now);
  } else {
    MergeUnknown(update, from_member_itself, now);
  }
}

auto MemberTable::MergeSelf(const MemberUpdate& update) -> void {
  if (update.incarnation < self_.incarnation) return;
  if (update.state == MemberState::kLeaving) {
    MarkSelfLeaving();
    return;
  }
  if (update.state == MemberState::kAlive) return;
  // Gossip doesn't change the state of a leaving member to suspected, and the refutation of a
  // leaving node keeps the state kLeaving.
  self_.incarnation = update.incarnation + 1;
  health_.OnSuspectedByOthers();
  updates_.Push(self_);
}

auto MemberTable::MergeUnknown(const MemberUpdate& update, bool from_member_itself,
                               MonotonicTime now) -> void {
  if (update.state == MemberState::kDead || IsSameVm(update, self_)) return;
  if (!ReplaceSameVm(update, from_member_itself, now) || !EvictIfFull()) return;
  auto& record = records_[update.instance];
  record.update = update;
  record.joined = now;
  Index(update);
  ++live_count_;
  joined_.push_back(update.instance);
  if (update.state == MemberState::kSuspected) {
    record.update.state = MemberState::kAlive;
    MarkSuspected(record, false, now);
  } else {
    OnRecordChanged(record);
  }
}

auto MemberTable::MergeKnown(Record& record, const MemberUpdate& update, bool from_member_itself,
                             MonotonicTime now) -> void {
  const bool dead = record.dead_since.has_value();
  if (dead && update.state < MemberState::kDead &&
      update.incarnation == record.update.incarnation) {
    if (now - record.last_verification < kDisputeInterval) return;
    record.last_verification = now;
    disputed_.push_back(update.instance);
    return;
  }
  if (!IsNewer(update, record.update)) return;
  if (dead) {
    if (update.state < MemberState::kDead) Revive(record, update, from_member_itself, now);
    return;
  }
  if (update.state == MemberState::kDead || update.state == MemberState::kSuspected) {
    record.update.incarnation = update.incarnation;
    MarkSuspected(record, update.state == MemberState::kDead, now);
    return;
  }
  if (!ReplaceSameVm(update, from_member_itself, now)) return;
  const bool refuted = update.incarnation > record.update.incarnation;
  if (refuted && record.failed_probes > 0) health_.OnProbeFailed();
  Unindex(record.update);
  record.update = update;
  Index(update);
  if (refuted) ClearSuspicion(record);
  OnRecordChanged(record);
}

auto MemberTable::ReplaceSameVm(const MemberUpdate& update, bool from_member_itself,
                                MonotonicTime now) -> bool {
  std::set<InstanceId> others;
  if (const auto found = live_by_name_.find(update.name); found != live_by_name_.end()) {
    others.insert(found->second);
  }
  const auto found = live_by_address_.find(update.peer_endpoint);
  if (found != live_by_address_.end()) others.insert(found->second);
  others.erase(update.instance);
  for (const auto instance : others) {
    const auto& other = records_.at(instance);
    const bool silent =
        !other.last_heard.has_value() || now - *other.last_heard > kMinSilenceToReplace;
    if (!StartedLater(update, other.update) && !(from_member_itself && silent)) return false;
  }
  for (const auto instance : others) MarkDead(records_.at(instance), now);
  return true;
}

auto MemberTable::Index(const MemberUpdate& update) -> void {
  live_by_name_[update.name] = update.instance;
  live_by_address_[update.peer_endpoint] = update.instance;
}

auto MemberTable::Unindex(const MemberUpdate& update) -> void {
  live_by_name_.erase(update.name);
  live_by_address_.erase(update.peer_endpoint);
}

auto MemberTable::Revive(Record& record, const MemberUpdate& update, bool from_member_itself,
                         MonotonicTime now) -> void {
  if (!ReplaceSameVm(update, from_member_itself, now)) return;
  record.update = update;
  record.dead_since.reset();
  record.joined = now;
  Index(update);
  ++live_count_;
  ClearSuspicion(record);
  joined_.push_back(update.instance);
  if (update.state == MemberState::kSuspected) {
    record.update.state = MemberState::kAlive;
    MarkSuspected(record, false, now);
  } else {
    OnRecordChanged(record);
  }
}

auto MemberTable::MarkSuspected(Record& record, bool declared_dead_by_peer, MonotonicTime now)
    -> void {
  record.declared_dead_by_peer = record.declared_dead_by_peer || declared_dead_by_peer;
  if (record.suspected_since.has_value()) return;
  record.suspected_since = now;
  record.failed_probes = 0;
  record.last_verification = MonotonicTime();
  suspected_.insert(record.update.instance);
  if (record.update.state == MemberState::kAlive) record.update.state = MemberState::kSuspected;
  OnRecordChanged(record);
}

auto MemberTable::ClearSuspicion(Record& record) -> void {
  record.suspected_since.reset();
  record.failed_probes = 0;
  record.declared_dead_by_peer = false;
  suspected_.erase(record.update.instance);
}

auto MemberTable::MarkDead(Record& record, MonotonicTime now) -> void {
  ClearSuspicion(record);
  Unindex(record.update);
  record.update.state = MemberState::kDead;
  record.dead_since = now;
  --live_count_;
  OnRecordChanged(record);
}

auto MemberTable::OnRecordChanged(const Record& record) -> void {
  ++generation_;
  updates_.Push(record.update);
}

auto MemberTable::OnDatagramReceived(InstanceId instance, MonotonicTime now) -> void {
  if (const auto found = records_.find(instance); found != records_.end()) {
    found->second.last_heard = now;
  }
}

auto MemberTable::OnProbeAnswered(InstanceId instance, bool direct) -> void {
  const auto found = records_.find(instance);
  if (found == records_.end()) return;
  auto& record = found->second;
  record.failed_probes = 0;
  if (record.direct_link_cut == !direct) return;
  record.direct_link_cut = !direct;
  ++generation_;
}

auto MemberTable::OnProbeFailed(InstanceId instance, MonotonicTime now) -> void {
  const auto found = records_.find(instance);
  if (found == records_.end() || found->second.dead_since.has_value()) return;
  auto& record = found->second;
  // A failed probe of a member that is already suspected says little about the health of this node.
  if (!record.suspected_since.has_value()) health_.OnProbeFailed();
  MarkSuspected(record, false, now);
  ++record.failed_probes;
}

auto MemberTable::OnReplaced(InstanceId instance, MonotonicTime now) -> void {
  const auto found = records_.find(instance);
  if (found != records_.end() && !found->second.dead_since.has_value())
    MarkDead(found->second, now);
}

auto MemberTable::OnVmList(const std::vector<ListedVm>& vms, MonotonicTime now) -> void {
  listed_.clear();
  for (const auto& vm : vms) {
    if (listed_.size() < kMaxMembers) listed_.insert(vm.peer_endpoint);
    if (!vm.leaving) continue;
    if (vm.peer_endpoint == self_.peer_endpoint) MarkSelfLeaving();
    const auto* member = FindLiveAt(vm.peer_endpoint);
    if (member == nullptr) continue;
    auto update = *member;
    update.state = MemberState::kLeaving;
    Merge(update, false, now);
  }
}

auto MemberTable::RestartSuspicions(MonotonicTime now) -> void {
  for (const auto instance : suspected_) {
    auto& record = records_.at(instance);
    record.suspected_since = now;
    record.failed_probes = 0;
  }
}

auto MemberTable::IsSuspicionExpired(const Record& record, MonotonicTime now) const -> bool {
  const auto since = *record.suspected_since;
  // The member is alive. It refutes the suspicion soon, because each message to the member carries
  // the suspicion.
  if (record.last_heard.has_value() && *record.last_heard > since) return false;
  if (record.declared_dead_by_peer && record.failed_probes >= kFailedProbesToConfirmDead)
    return true;
  const bool listed = listed_.empty() || listed_.contains(record.update.peer_endpoint);
  const auto time = health_.Scale(listed ? kSuspicionTime : kUnlistedSuspicionTime);
  const int failures = listed ? kFailedProbesToDeclareDead : kFailedProbesToConfirmDead;
  return now - since >= time && record.failed_probes >= failures;
}

auto MemberTable::OnTick(MonotonicTime now) -> void {
  const std::vector<InstanceId> suspected(suspected_.begin(), suspected_.end());
  for (const auto instance : suspected) {
    auto& record = records_.at(instance);
    if (IsSuspicionExpired(record, now)) MarkDead(record, now);
  }
  if (now >= next_cleanup_) RemoveOldDeadRecords(now);
}

auto MemberTable::RemoveOldDeadRecords(MonotonicTime now) -> void {
  next_cleanup_ = now + std::chrono::seconds(1);
  std::erase_if(records_, [&](const auto& entry) {
    const auto& record = entry.second;
    const bool expired =
        record.dead_since.has_value() && now - *record.dead_since > kDeadRecordRetention;
    if (expired) updates_.Remove(record.update.instance);
    return expired;
  });
}

auto MemberTable::EvictIfFull() -> bool {
  if (records_.size() < kMaxMembers) return true;
  auto oldest = records_.end();
  for (auto next = records_.begin(); next != records_.end(); ++next) {
    const auto& dead_since = next->second.dead_since;
    if (!dead_since.has_value()) continue;
    if (oldest == records_.end() || *dead_since < *oldest->second.dead_since) oldest = next;
  }
  if (oldest == records_.end()) return false;
  updates_.Remove(oldest->first);
  records_.erase(oldest);
  return true;
}

auto MemberTable::MarkSelfLeaving() -> void {
  if (self_.state == MemberState::kLeaving) return;
  self_.state = MemberState::kLeaving;
  ++generation_;
  updates_.Push(self_);
}

auto MemberTable::Find(InstanceId instance) const -> const MemberUpdate* {
  const auto found = records_.find(instance);
  return found == records_.end() ? nullptr : &found->second.update;
}

auto MemberTable::IsNewMember(InstanceId instance, MonotonicTime now) const -> bool {
  const auto found = records_.find(instance);
  return found == records_.end() || now - found->second.joined < kNewMemberTime;
}

auto MemberTable::FindLiveAt(const Endpoint& endpoint) const -> const MemberUpdate* {
  const auto found = live_by_address_.find(endpoint);
  return found == live_by_address_.end() ? nullptr : &records_.at(found->second).update;
}

auto MemberTable::FindDeadAt(const Endpoint& endpoint) const -> const MemberUpdate* {
  const MemberUpdate* latest = nullptr;
  for (const auto& [instance, record] : records_) {
    if (!record.dead_since.has_value() || record.update.peer_endpoint != endpoint) continue;
    if (latest == nullptr || StartedLater(record.update, *latest)) latest = &record.update;
  }
  return latest;
}

auto MemberTable::LiveInstances() const -> std::vector<InstanceId> {
  std::vector<InstanceId> live;
  live.reserve(live_count_);
  for (const auto& [instance, record] : records_) {
    if (!record.dead_since.has_value()) live.push_back(instance);
  }
  return live;
}

auto MemberTable::Members() const -> std::vector<Member> {
  const auto make = [](const MemberUpdate& update, std::optional<MonotonicTime> heard, bool cut) {
    return Member{update.name,
                  update.zone,
                  update.instance,
                  update.caller_endpoint,
                  update.peer_endpoint,
                  update.state,
                  update.started_unix_ms,
                  heard,
                  cut};
  };
  std::vector<Member> members = {make(self_, std::nullopt, false)};
  for (const auto& [instance, record] : records_) {
    if (record.dead_since.has_value()) continue;
    members.push_back(make(record.update, record.last_heard, record.direct_link_cut));
  }
  return members;
}

auto MemberTable::TakeMemberToVerify(MonotonicTime now) -> std::optional<InstanceId> {
  if (!disputed_.empty()) {
    const auto instance = disputed_.front();
    disputed_.pop_front();
    return instance;
  }
  Record* longest_unverified = nullptr;
  for (const auto instance : suspected_) {
    auto& record = records_.at(instance);
    if (longest_unverified == nullptr ||
        record.last_verification < longest_unverified->last_verification)
      longest_unverified = &record;
  }
  if (longest_unverified == nullptr) return std::nullopt;
  if (now - longest_unverified->last_verification < health_.Scale(kVerifyInterval))
    return std::nullopt;
  longest_unverified->last_verification = now;
  return longest_unverified->update.instance;
}

auto MemberTable::ReconnectAddresses() const -> std::vector<Endpoint> {
  auto addresses = listed_;
  addresses.erase(self_.peer_endpoint);
  for (const auto& [instance, record] : records_) {
    if (record.dead_since.has_value()) addresses.insert(record.update.peer_endpoint);
  }
  for (const auto& [instance, record] : records_) {
    if (!record.dead_since.has_value()) addresses.erase(record.update.peer_endpoint);
  }
  return {addresses.begin(), addresses.end()};
}

auto MemberTable::NextAlive(InstanceId after) const -> const MemberUpdate* {
  auto next = records_.upper_bound(after);
  for (std::size_t i = 0; i <= records_.size() && !records_.empty(); ++i) {
    if (next == records_.end()) next = records_.begin();
    const auto& record = next->second;
    if (!record.dead_since.has_value() && !record.suspected_since.has_value())
      return &record.update;
    ++next;
  }
  return nullptr;
}

auto MemberTable::TakeJoined() -> std::vector<InstanceId> { return std::exchange(joined_, {}); }

}  // namespace heatherspan
