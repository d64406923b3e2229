#include "membership/membership.h"

#include <algorithm>
#include <utility>

#include "membership/membership_timing.h"
#include "messages/ack.h"
#include "messages/ping.h"
#include "messages/ping_request.h"

namespace heatherspan {
namespace {

// The number of members that this node informs directly when it leaves. Gossip informs the others.
constexpr std::size_t kLeaveNotices = 8;

template <class Element>
auto RandomElement(const std::vector<Element>& elements, Random& random) -> const Element& {
  return elements[random() % elements.size()];
}

}  // namespace

Membership::Membership(MemberUpdate self, std::vector<Endpoint> seeds)
    : table_(std::move(self), health_, updates_),
      composer_(table_, updates_),
      seeds_(std::move(seeds)) {
  std::erase(seeds_, table_.self().peer_endpoint);
}

auto Membership::OnTick(MonotonicTime now, Random& random) -> Outgoing {
  Outgoing out;
  const bool paused = last_tick_.has_value() && now - *last_tick_ > kMembershipTick + kPauseLimit;
  if (!last_tick_.has_value()) last_discovery_ = now;
  if (paused) OnPause(now);
  last_tick_ = now;
  CheckProbes(now, random, out);
  table_.OnTick(now);
  if (const auto to_verify = table_.TakeMemberToVerify(now); to_verify.has_value())
    StartProbe(*to_verify, now, out);
  ProbeNext(now, random, out);
  Reconnect(now, random, out);
  SyncMemberList(now, random, out);
  return out;
}

auto Membership::OnPause(MonotonicTime now) -> void {
  health_.OnPause();
  probes_.clear();
  relays_.clear();
  table_.RestartSuspicions(now);
  // The node requests the member lists of peers before it declares any member dead.
  syncing_ = true;
  last_discovery_ = now;
  next_probe_ = now + kProbePeriod;
}

auto Membership::CheckProbes(MonotonicTime now, Random& random, Outgoing& out) -> void {
  std::vector<InstanceId> failed;
  for (auto next = probes_.begin(); next != probes_.end();) {
    auto& [sequence, probe] = *next;
    const auto age = now - probe.sent;
    if (age >= health_.Scale(kProbeTimeout)) {
      failed.push_back(probe.subject);
      next = probes_.erase(next);
      continue;
    }
    if (!probe.indirect && age >= health_.Scale(kDirectTimeout)) {
      probe.indirect = true;
      ProbeIndirectly(sequence, probe, now, random, out);
    }
    ++next;
  }
  for (const auto subject : failed) table_.OnProbeFailed(subject, now);
  std::erase_if(relays_, [now](const auto& entry) { return entry.second.expires <= now; });
}

auto Membership::StartProbe(InstanceId subject, MonotonicTime now, Outgoing& out) -> void {
  const auto* member = table_.Find(subject);
  if (member == nullptr) return;
  if (member->state == MemberState::kDead) {
    PingAddress(member->peer_endpoint, subject, now, out);
    return;
  }
  const bool probed = std::any_of(probes_.begin(), probes_.end(), [subject](const auto& entry) {
    return entry.second.subject == subject;
  });
  if (probed || probes_.size() >= kMaxProbes) return;
  probes_.emplace(next_sequence_, Probe{subject, member->peer_endpoint, now, false});
  PingAddress(member->peer_endpoint, subject, now, out);
}

auto Membership::PingAddress(const Endpoint& to, InstanceId receiver, MonotonicTime now,
                             Outgoing& out) -> void {
  Ping ping;
  ping.sequence = next_sequence_++;
  out.push_back({to, composer_.Complete(std::move(ping), receiver, now)});
}

auto Membership::ProbeNext(MonotonicTime now, Random& random, Outgoing& out) -> void {
  if (now < next_probe_) return;
  next_probe_ = now + kProbePeriod;
  // Members that have died since the start of the round are skipped.
  for (std::size_t i = 0; i <= table_.live_count(); ++i) {
    const auto next =
        order_.Next(order_.AtEnd() ? table_.LiveInstances() : std::vector<InstanceId>(), random);
    if (!next.has_value()) return;
    const auto* member = table_.Find(*next);
    if (member == nullptr || member->state == MemberState::kDead) continue;
    StartProbe(*next, now, out);
    return;
  }
}

auto Membership::ProbeIndirectly(std::uint64_t sequence, const Probe& probe, MonotonicTime now,
                                 Random& random, Outgoing& out) -> void {
  auto helpers = table_.LiveInstances();
  std::shuffle(helpers.begin(), helpers.end(), random);
  std::size_t asked = 0;
  for (const auto helper : helpers) {
    if (asked == kIndirectProbes) return;
    const auto* member = table_.Find(helper);
    if (helper == probe.subject || member->state == MemberState::kSuspected) continue;
    PingRequest request;
    request.sequence = sequence;
    request.subject = probe.subject;
    request.subject_endpoint = probe.endpoint;
    out.push_back({member->peer_endpoint, composer_.Complete(std::move(request), helper, now)});
    ++asked;
  }
}

auto Membership::Reconnect(MonotonicTime now, Random& random, Outgoing& out) -> void {
  if (now < next_reconnect_) return;
  const bool isolated = table_.live_count() == 0;
  next_reconnect_ = now + (isolated ? kIsolatedReconnectInterval : kReconnectInterval);
  auto addresses = table_.ReconnectAddresses();
  for (const auto& seed : seeds_) {
    if (table_.FindLiveAt(seed) == nullptr) addresses.push_back(seed);
  }
  if (addresses.empty()) return;
  const auto& to = RandomElement(addresses, random);
  // The address may belong to a member that is dead in the table. A ping that names this member
  // carries its record, so that the member can refute it.
  InstanceId receiver;
  if (const auto* dead = table_.FindDeadAt(to); dead != nullptr) receiver = dead->instance;
  PingAddress(to, receiver, now, out);
}

auto Membership::SyncMemberList(MonotonicTime now, Random& random, Outgoing& out) -> void {
  if (table_.live_count() == 0) {
    syncing_ = true;
    last_discovery_ = now;
  }
  if (!syncing_ || table_.live_count() == 0) return;
  const auto cycle = kSyncTimePerMember * table_.live_count() + kSyncQuietTime;
  syncing_ = now - last_discovery_ <= cycle;
  const auto* sync_peer = table_.Find(sync_peer_);
  if (sync_peer == nullptr || sync_peer->state != MemberState::kAlive || now >= sync_peer_until_) {
    sync_peer_ = RandomElement(table_.LiveInstances(), random);
    sync_peer_until_ = now + cycle;
    sync_peer = table_.Find(sync_peer_);
  }
  PingAddress(sync_peer->peer_endpoint, sync_peer_, now, out);
}

auto Membership::OnDatagram(InstanceId sender, const Endpoint& from, const Datagram& datagram,
                            MonotonicTime now, Random& random) -> Outgoing {
  Outgoing out;
  if (sender == table_.self().instance) return out;
  if (const auto* ping = std::get_if<Ping>(&datagram)) {
    MergeUpdates(sender, ping->updates, now, random);
    OnPing(sender, from, *ping, now, out);
  } else if (const auto* request = std::get_if<PingRequest>(&datagram)) {
    MergeUpdates(sender, request->updates, now, random);
    OnPingRequest(sender, from, *request, now, out);
  } else if (const auto* ack = std::get_if<Ack>(&datagram)) {
    MergeUpdates(sender, ack->updates, now, random);
    OnAck(sender, *ack, now, out);
  }
  return out;
}

auto Membership::MergeUpdates(InstanceId sender, const std::vector<MemberUpdate>& updates,
                              MonotonicTime now, Random& random) -> void {
  for (std::size_t i = 0; i < std::min(updates.size(), kMaxUpdates); ++i) {
    table_.Merge(updates[i], updates[i].instance == sender, now);
  }
  table_.OnDatagramReceived(sender, now);
  for (const auto instance : table_.TakeJoined()) {
    order_.Add(instance, random);
    last_discovery_ = now;
  }
}

auto Membership::OnPing(InstanceId sender, const Endpoint& from, const Ping& ping,
                        MonotonicTime now, Outgoing& out) -> void {
  Ack ack;
  ack.sequence = ping.sequence;
  ack.subject = table_.self().instance;
  out.push_back({from, composer_.Complete(std::move(ack), sender, now)});
}

auto Membership::OnPingRequest(InstanceId sender, const Endpoint& from, const PingRequest& request,
                               MonotonicTime now, Outgoing& out) -> void {
  if (relays_.size() >= kMaxRelays) return;
  const Relay relay{request.subject, from, sender, request.sequence, now + kProbeTimeout};
  relays_.emplace(next_sequence_, relay);
  PingAddress(request.subject_endpoint, request.subject, now, out);
}

auto Membership::OnAck(InstanceId sender, const Ack& ack, MonotonicTime now, Outgoing& out)
    -> void {
  if (const auto relay = relays_.find(ack.sequence); relay != relays_.end()) {
    Ack answer;
    answer.sequence = relay->second.origin_sequence;
    answer.subject = ack.subject;
    const auto origin = relay->second.origin_instance;
    if (sender == relay->second.subject) {
      out.push_back({relay->second.origin, composer_.Complete(std::move(answer), origin, now)});
    }
    relays_.erase(relay);
    return;
  }
  const auto found = probes_.find(ack.sequence);
  if (found == probes_.end()) return;
  const auto subject = found->second.subject;
  if (ack.subject == subject) {
    table_.OnProbeAnswered(subject, sender == subject);
    health_.OnProbeAnswered();
    probes_.erase(found);
  } else if (ack.subject == sender) {
    table_.OnReplaced(subject, now);
    probes_.erase(found);
  }
}

auto Membership::OnVmList(const std::vector<ListedVm>& vms, MonotonicTime now) -> Outgoing {
  table_.OnVmList(vms, now);
  // The next tick contacts the listed addresses.
  if (table_.live_count() == 0) next_reconnect_ = now;
  return {};
}

auto Membership::Leave(MonotonicTime now, Random& random) -> Outgoing {
  table_.MarkSelfLeaving();
  Outgoing out;
  auto live = table_.LiveInstances();
  std::shuffle(live.begin(), live.end(), random);
  if (live.size() > kLeaveNotices) live.resize(kLeaveNotices);
  for (const auto peer : live) PingAddress(table_.Find(peer)->peer_endpoint, peer, now, out);
  return out;
}

}  // namespace heatherspan
