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

MemberTable::MemberTable(MemberUpdate self, LocalHealth& health, UpdateQueue& news)
    : self_(std::move(self)), health_(health), news_(news) {
  self_.incarnation = 0;
  self_.state = MemberState::kAlive;
  news_.Push(self_);
}

auto MemberTable::Merge(const MemberUpdate& update, bool direct, MonotonicTime now) -> void {
  if (update.instance == self_.instance) {
    MergeSelf(update);
  } else if (const auto found = records_.find(update.instance); found != records_.end()) {
    MergeKnown(found->second, update, direct, now);
  } else {
    MergeUnknown(update, direct, now);
  }
}

auto MemberTable::MergeSelf(const MemberUpdate& update) -> void {
  if (update.incarnation < self_.incarnation) return;
  if (update.state == MemberState::kLeaving) {
    LeaveSelf();
    return;
  }
  if (update.state == MemberState::kAlive) return;
  // A leaving node is not suspected by gossip, and its refutation keeps the state.
  self_.incarnation = update.incarnation + 1;
  health_.OnSuspectedByOthers();
  news_.Push(self_);
}

auto MemberTable::MergeUnknown(const MemberUpdate& update, bool direct, MonotonicTime now) -> void {
  if (update.state == MemberState::kDead || IsSameVm(update, self_)) return;
  if (!Replace(update, direct, now) || !MakeRoom()) return;
  auto& record = records_[update.instance];
  record.update = update;
  record.joined = now;
  Index(update);
  ++live_count_;
  joined_.push_back(update.instance);
  if (update.state == MemberState::kSuspected) {
    record.update.state = MemberState::kAlive;
    Suspect(record, false, now);
  } else {
    Changed(record);
  }
}

auto MemberTable::MergeKnown(Record& record, const MemberUpdate& update, bool direct,
                             MonotonicTime now) -> void {
  const bool dead = record.died.has_value();
  if (dead && update.state < MemberState::kDead &&
      update.incarnation == record.update.incarnation) {
    if (now - record.last_doubt < kDisputeInterval) return;
    record.last_doubt = now;
    disputed_.push_back(update.instance);
    return;
  }
  if (!IsNewer(update, record.update)) return;
  if (dead) {
    if (update.state < MemberState::kDead) Revive(record, update, direct, now);
    return;
  }
  if (update.state == MemberState::kDead || update.state == MemberState::kSuspected) {
    record.update.incarnation = update.incarnation;
    Suspect(record, update.state == MemberState::kDead, now);
    return;
  }
  if (!Replace(update, direct, now)) return;
  const bool refuted = update.incarnation > record.update.incarnation;
  if (refuted && record.failed_probes > 0) health_.OnProbeFailed();
  Unindex(record.update);
  record.update = update;
  Index(update);
  if (refuted) Unsuspect(record);
  Changed(record);
}

auto MemberTable::Replace(const MemberUpdate& update, bool direct, MonotonicTime now) -> bool {
  std::set<InstanceId> others;
  if (const auto found = live_by_name_.find(update.name); found != live_by_name_.end()) {
    others.insert(found->second);
  }
  const auto found = live_by_address_.find(update.peer_endpoint);
  if (found != live_by_address_.end()) others.insert(found->second);
  others.erase(update.instance);
  for (const auto instance : others) {
    const auto& other = records_.at(instance);
    const bool silent = !other.last_heard.has_value() || now - *other.last_heard > kRecentlyHeard;
    if (!StartedLater(update, other.update) && !(direct && silent)) return false;
  }
  for (const auto instance : others) Kill(records_.at(instance), now);
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

auto MemberTable::Revive(Record& record, const MemberUpdate& update, bool direct, MonotonicTime now)
    -> void {
  if (!Replace(update, direct, now)) return;
  record.update = update;
  record.died.reset();
  record.joined = now;
  Index(update);
  ++live_count_;
  Unsuspect(record);
  joined_.push_back(update.instance);
  if (update.state == MemberState::kSuspected) {
    record.update.state = MemberState::kAlive;
    Suspect(record, false, now);
  } else {
    Changed(record);
  }
}

auto MemberTable::Suspect(Record& record, bool death_claimed, MonotonicTime now) -> void {
  record.death_claimed = record.death_claimed || death_claimed;
  if (record.suspected_since.has_value()) return;
  record.suspected_since = now;
  record.failed_probes = 0;
  record.last_doubt = MonotonicTime();
  suspected_.insert(record.update.instance);
  if (record.update.state == MemberState::kAlive) record.update.state = MemberState::kSuspected;
  Changed(record);
}

auto MemberTable::Unsuspect(Record& record) -> void {
  record.suspected_since.reset();
  record.failed_probes = 0;
  record.death_claimed = false;
  suspected_.erase(record.update.instance);
}

auto MemberTable::Kill(Record& record, MonotonicTime now) -> void {
  Unsuspect(record);
  Unindex(record.update);
  record.update.state = MemberState::kDead;
  record.died = now;
  --live_count_;
  Changed(record);
}

auto MemberTable::Changed(const Record& record) -> void {
  ++generation_;
  news_.Push(record.update);
}

auto MemberTable::OnHeard(InstanceId instance, MonotonicTime now) -> void {
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
  if (found == records_.end() || found->second.died.has_value()) return;
  auto& record = found->second;
  // Failures of members that are already suspected say little of this node.
  if (!record.suspected_since.has_value()) health_.OnProbeFailed();
  Suspect(record, false, now);
  ++record.failed_probes;
}

auto MemberTable::OnReplaced(InstanceId instance, MonotonicTime now) -> void {
  const auto found = records_.find(instance);
  if (found != records_.end() && !found->second.died.has_value()) Kill(found->second, now);
}

auto MemberTable::OnVmList(const std::vector<VmHint>& vms, MonotonicTime now) -> void {
  listed_.clear();
  for (const auto& vm : vms) {
    if (listed_.size() < kMaxMembers) listed_.insert(vm.peer_endpoint);
    if (!vm.leaving) continue;
    if (vm.peer_endpoint == self_.peer_endpoint) LeaveSelf();
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

auto MemberTable::IsOver(const Record& record, MonotonicTime now) const -> bool {
  const auto since = *record.suspected_since;
  // It is alive; its refutation follows, because each message to it names the suspicion.
  if (record.last_heard.has_value() && *record.last_heard > since) return false;
  if (record.death_claimed && record.failed_probes >= kFailuresToConfirmDeath) return true;
  const bool listed = listed_.empty() || listed_.contains(record.update.peer_endpoint);
  const auto time = health_.Scale(listed ? kSuspicionTime : kUnlistedSuspicionTime);
  const int failures = listed ? kFailuresToDeath : kFailuresToConfirmDeath;
  return now - since >= time && record.failed_probes >= failures;
}

auto MemberTable::OnTick(MonotonicTime now) -> void {
  const std::vector<InstanceId> suspected(suspected_.begin(), suspected_.end());
  for (const auto instance : suspected) {
    auto& record = records_.at(instance);
    if (IsOver(record, now)) Kill(record, now);
  }
  if (now >= next_forget_) Forget(now);
}

auto MemberTable::Forget(MonotonicTime now) -> void {
  next_forget_ = now + std::chrono::seconds(1);
  std::erase_if(records_, [&](const auto& entry) {
    const auto& record = entry.second;
    const bool old = record.died.has_value() && now - *record.died > kForgetTime;
    if (old) news_.Remove(record.update.instance);
    return old;
  });
}

auto MemberTable::MakeRoom() -> bool {
  if (records_.size() < kMaxMembers) return true;
  auto oldest = records_.end();
  for (auto next = records_.begin(); next != records_.end(); ++next) {
    const auto& died = next->second.died;
    if (!died.has_value()) continue;
    if (oldest == records_.end() || *died < *oldest->second.died) oldest = next;
  }
  if (oldest == records_.end()) return false;
  news_.Remove(oldest->first);
  records_.erase(oldest);
  return true;
}

auto MemberTable::LeaveSelf() -> void {
  if (self_.state == MemberState::kLeaving) return;
  self_.state = MemberState::kLeaving;
  ++generation_;
  news_.Push(self_);
}

auto MemberTable::Find(InstanceId instance) const -> const MemberUpdate* {
  const auto found = records_.find(instance);
  return found == records_.end() ? nullptr : &found->second.update;
}

auto MemberTable::IsNewcomer(InstanceId instance, MonotonicTime now) const -> bool {
  const auto found = records_.find(instance);
  return found == records_.end() || now - found->second.joined < kNewcomerTime;
}

auto MemberTable::FindLiveAt(const Endpoint& endpoint) const -> const MemberUpdate* {
  const auto found = live_by_address_.find(endpoint);
  return found == live_by_address_.end() ? nullptr : &records_.at(found->second).update;
}

auto MemberTable::FindDeadAt(const Endpoint& endpoint) const -> const MemberUpdate* {
  const MemberUpdate* latest = nullptr;
  for (const auto& [instance, record] : records_) {
    if (!record.died.has_value() || record.update.peer_endpoint != endpoint) continue;
    if (latest == nullptr || StartedLater(record.update, *latest)) latest = &record.update;
  }
  return latest;
}

auto MemberTable::Live() const -> std::vector<InstanceId> {
  std::vector<InstanceId> live;
  live.reserve(live_count_);
  for (const auto& [instance, record] : records_) {
    if (!record.died.has_value()) live.push_back(instance);
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
    if (record.died.has_value()) continue;
    members.push_back(make(record.update, record.last_heard, record.direct_link_cut));
  }
  return members;
}

auto MemberTable::TakeDoubt(MonotonicTime now) -> std::optional<InstanceId> {
  if (!disputed_.empty()) {
    const auto instance = disputed_.front();
    disputed_.pop_front();
    return instance;
  }
  Record* longest = nullptr;
  for (const auto instance : suspected_) {
    auto& record = records_.at(instance);
    if (longest == nullptr || record.last_doubt < longest->last_doubt) longest = &record;
  }
  if (longest == nullptr) return std::nullopt;
  if (now - longest->last_doubt < health_.Scale(kVerifyInterval)) return std::nullopt;
  longest->last_doubt = now;
  return longest->update.instance;
}

auto MemberTable::Contacts() const -> std::vector<Endpoint> {
  auto contacts = listed_;
  contacts.erase(self_.peer_endpoint);
  for (const auto& [instance, record] : records_) {
    if (record.died.has_value()) contacts.insert(record.update.peer_endpoint);
  }
  for (const auto& [instance, record] : records_) {
    if (!record.died.has_value()) contacts.erase(record.update.peer_endpoint);
  }
  return {contacts.begin(), contacts.end()};
}

auto MemberTable::NextAlive(InstanceId after) const -> const MemberUpdate* {
  auto next = records_.upper_bound(after);
  for (std::size_t i = 0; i <= records_.size() && !records_.empty(); ++i) {
    if (next == records_.end()) next = records_.begin();
    const auto& record = next->second;
    if (!record.died.has_value() && !record.suspected_since.has_value()) return &record.update;
    ++next;
  }
  return nullptr;
}

auto MemberTable::TakeJoined() -> std::vector<InstanceId> { return std::exchange(joined_, {}); }

}  // namespace heatherspan
