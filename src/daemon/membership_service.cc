#include "daemon/membership_service.h"

#include <array>
#include <utility>
#include <variant>

#include "membership/membership_timing.h"
#include "observe/metrics_registry.h"

namespace heatherspan {
namespace {

struct StateName {
  MemberState state;
  std::string_view name;
};

constexpr std::array<StateName, 3> kStateNames = {{
    {MemberState::kAlive, "alive"},
    {MemberState::kSuspected, "suspected"},
    {MemberState::kLeaving, "leaving"},
}};

auto SelfUpdate(const NodeIdentity& identity) -> MemberUpdate {
  MemberUpdate update;
  update.name = identity.name;
  update.zone = identity.zone;
  update.instance = identity.instance;
  update.caller_endpoint = identity.callers;
  update.peer_endpoint = identity.peers;
  update.started_unix_ms = identity.started_unix_ms;
  return update;
}

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

MembershipService::MembershipService(WorkerPool& workers, UdpSocket& socket,
                                     const NodeIdentity& identity, std::vector<Endpoint> seeds,
                                     MetricsRegistry& metrics, Callbacks callbacks,
                                     std::uint64_t seed)
    : workers_(workers),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      socket_(socket),
      random_(seed),
      membership_(SelfUpdate(identity), std::move(seeds)) {}

auto MembershipService::Start() -> void {
  timer_ = workers_.RunEvery(kMembershipTick, [this] { OnTick(); });
}

auto MembershipService::Stop() -> void { timer_.reset(); }

auto MembershipService::Send(const Endpoint& to, const Datagram& datagram) -> void {
  socket_.Send(to, datagram);
}

auto MembershipService::SendAll(const std::vector<OutgoingDatagram>& datagrams) -> void {
  for (const auto& outgoing : datagrams) socket_.Send(outgoing.to, outgoing.datagram);
}

auto MembershipService::NotifyIfChanged() -> void {
  {
    const std::lock_guard lock(mutex_);
    if (membership_.generation() == reported_generation_) return;
    reported_generation_ = membership_.generation();
  }
  callbacks_.members_changed();
}

auto MembershipService::OnTick() -> void {
  std::vector<OutgoingDatagram> out;
  {
    const std::lock_guard lock(mutex_);
    out = membership_.OnTick(clock_.Now(), random_);
  }
  SendAll(out);
  NotifyIfChanged();
}

auto MembershipService::OnDatagram(InstanceId sender, const Endpoint& from,
                                   const Datagram& datagram) -> void {
  std::vector<OutgoingDatagram> out;
  {
    const std::lock_guard lock(mutex_);
    out = membership_.OnDatagram(sender, from, datagram, clock_.Now(), random_);
  }
  SendAll(out);
  NotifyIfChanged();
  Dispatch(sender, from, datagram);
}

auto MembershipService::Dispatch(InstanceId sender, const Endpoint& from, const Datagram& datagram)
    -> void {
  const auto on_gossip = [&](const auto& message) {
    if (message.config.version.value() > 0) callbacks_.digest_seen(sender, message.config);
    if (!message.load.zone.empty()) callbacks_.load_seen(message.load);
  };
  std::visit(Overloaded{
                 [&](const Ping& ping) { on_gossip(ping); },
                 [&](const Ack& ack) { on_gossip(ack); },
                 [&](const PingRequest& /*request*/) {},
                 [&](const ShareRequest& request) {
                   // A node may request a share only for itself. The grant is sent to the address
                   // of the sender.
                   if (request.holder == sender) callbacks_.share_requested(from, request);
                 },
                 [&](const ShareGrant& grant) { callbacks_.share_granted(grant); },
             },
             datagram);
}

auto MembershipService::Leave() -> void {
  std::vector<OutgoingDatagram> out;
  {
    const std::lock_guard lock(mutex_);
    out = membership_.Leave(clock_.Now(), random_);
  }
  SendAll(out);
  NotifyIfChanged();
}

auto MembershipService::OnVmList(const std::vector<ListedVm>& vms) -> void {
  std::vector<OutgoingDatagram> out;
  {
    const std::lock_guard lock(mutex_);
    out = membership_.OnVmList(vms, clock_.Now());
  }
  SendAll(out);
  NotifyIfChanged();
}

auto MembershipService::SetConfig(const ConfigDigest& digest) -> void {
  const std::lock_guard lock(mutex_);
  membership_.SetConfig(digest);
}

auto MembershipService::SetLoad(NodeLoad load) -> void {
  const std::lock_guard lock(mutex_);
  membership_.SetLoad(std::move(load));
}

auto MembershipService::Members() const -> std::vector<Member> {
  const std::lock_guard lock(mutex_);
  return membership_.Members();
}

auto MembershipService::PublishMetrics() const -> void {
  const auto members = Members();
  for (const auto& [state, name] : kStateNames) {
    double count = 0;
    for (const auto& member : members) count += member.state == state ? 1 : 0;
    metrics_.Set(Metric::kMembers, {{"state", name}}, count);
  }
  const auto counters = socket_.counters();
  metrics_.Set(Metric::kDatagrams, {{"direction", "sent"}}, static_cast<double>(counters.sent));
  metrics_.Set(Metric::kDatagrams, {{"direction", "received"}},
               static_cast<double>(counters.received));
  metrics_.Set(Metric::kDatagramBytes, {{"direction", "sent"}},
               static_cast<double>(counters.sent_bytes));
  metrics_.Set(Metric::kDatagramBytes, {{"direction", "received"}},
               static_cast<double>(counters.received_bytes));
  metrics_.Set(Metric::kRejectedInput, {{"listener", "peers"}, {"cause", "datagram"}},
               static_cast<double>(counters.rejected));
}

}  // namespace heatherspan
