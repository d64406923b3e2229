#include "membership_network.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "fmt/format.h"
#include "membership/encoded_size.h"
#include "membership/membership_timing.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
constexpr std::size_t kZones = 23;

auto SizeOf(const Datagram& datagram) -> std::size_t {
  const auto body = std::visit([](const auto& message) { return EncodedSize(message); }, datagram);
  return body + 4 + kEnvelopeBytes;
}

// A load report with four services, which is the number in both deployments.
auto TypicalLoad(const MemberUpdate& self) -> NodeLoad {
  NodeLoad load;
  load.zone = self.zone;
  load.instance = self.instance;
  for (const auto* name : {"survey-desk", "ledger", "dispatch", "archive"}) {
    load.services.push_back(ServiceLoad{ServiceName(name), 3, 1, 0});
  }
  return load;
}

}  // namespace

MembershipNetwork::MembershipNetwork(std::size_t nodes, std::uint64_t seed) : random_(seed) {
  nodes_.resize(nodes);
  for (std::size_t i = 0; i < nodes; ++i) Start(i);
}

auto MembershipNetwork::Start(std::size_t index) -> void {
  auto& node = nodes_[index];
  auto& self = node.self;
  self.name = NodeName(fmt::format("entry-{:03}.sofia", index));
  self.zone = ZoneName(fmt::format("sofia-{}", index % kZones));
  // Instance ids are random as in production, so that their order is independent of the start time.
  self.instance = InstanceId(random_());
  const auto address = fmt::format("10.20.{}.{}", index / 200, index % 200 + 1);
  self.caller_endpoint = Endpoint{address, 8'080};
  self.peer_endpoint = Endpoint{address, 7'000};
  self.started_unix_ms = now_.time_since_epoch().count() / 1'000'000 + 1;
  const std::vector<Endpoint> seeds = {Endpoint{"10.20.0.1", 7'000}, Endpoint{"10.20.0.2", 7'000},
                                       Endpoint{"10.20.0.3", 7'000}};
  by_address_[self.peer_endpoint] = index;
  node.membership = std::make_unique<Membership>(self, seeds);
  node.membership->SetLoad(TypicalLoad(self));
  node.membership->SetConfig(ConfigDigest{ConfigVersion(720), std::string(64, 'a')});
  node.running = true;
  node.paused_until = MonotonicTime();
  node.next_tick = now_ + milliseconds(random_() % 100);
}

auto MembershipNetwork::Restart(std::size_t index) -> void { Start(index); }

auto MembershipNetwork::Pause(std::size_t index, Duration length) -> void {
  nodes_[index].paused_until = now_ + length;
}

auto MembershipNetwork::IsDropped(double probability) -> bool {
  return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

auto MembershipNetwork::Send(std::size_t from, std::vector<OutgoingDatagram> datagrams) -> void {
  for (auto& outgoing : datagrams) {
    const auto size = SizeOf(outgoing.datagram);
    largest_datagram_ = std::max(largest_datagram_, size);
    nodes_[from].bytes += static_cast<std::int64_t>(size);
    const auto found = by_address_.find(outgoing.to);
    if (found == by_address_.end()) continue;
    const auto to = found->second;
    if (!link(from, to) || IsDropped(loss)) continue;
    if (IsDropped(nodes_[from].loss) || IsDropped(nodes_[to].loss)) continue;
    const auto delay = milliseconds(1 + random_() % 40);
    in_flight_.emplace(now_ + delay, InFlightDatagram{from, to, nodes_[from].self.instance,
                                                      std::move(outgoing.datagram)});
  }
}

auto MembershipNetwork::Receive(std::size_t from, std::size_t to, InstanceId sender,
                                const Datagram& datagram) -> void {
  auto& node = nodes_[to];
  if (!node.running) return;
  node.bytes += static_cast<std::int64_t>(SizeOf(datagram));
  Send(to, node.membership->OnDatagram(sender, nodes_[from].self.peer_endpoint, datagram, now_,
                                       random_));
}

auto MembershipNetwork::Step() -> void {
  now_ += kStep;
  while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
    auto flight = std::move(in_flight_.begin()->second);
    in_flight_.erase(in_flight_.begin());
    const auto& node = nodes_[flight.to];
    if (node.running && node.paused_until > now_) {
      // The kernel buffers datagrams for a stopped process.
      const auto resumed = node.paused_until + milliseconds(1);
      in_flight_.emplace(resumed, std::move(flight));
      continue;
    }
    Receive(flight.from, flight.to, flight.sender, flight.datagram);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& node = nodes_[i];
    if (!node.running || node.next_tick > now_ || node.paused_until > now_) continue;
    node.next_tick = now_ + kMembershipTick;
    Send(i, node.membership->OnTick(now_, random_));
  }
}

auto MembershipNetwork::Run(Duration length) -> void {
  for (const auto end = now_ + length; now_ < end;) Step();
}

auto MembershipNetwork::RunUntil(const std::function<bool()>& condition, Duration limit)
    -> Duration {
  const auto start = now_;
  while (now_ < start + limit) {
    Run(kMembershipTick);
    if (condition()) break;
  }
  return now_ - start;
}

auto MembershipNetwork::StateAt(std::size_t observer, std::size_t subject) const -> MemberState {
  for (const auto& member : nodes_[observer].membership->Members()) {
    if (member.instance == nodes_[subject].self.instance) return member.state;
  }
  return MemberState::kDead;
}

auto MembershipNetwork::MissingPairs(
    const std::function<bool(std::size_t, std::size_t)>& filter) const -> int {
  int missing = 0;
  for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
    for (std::size_t subject = 0; subject < nodes_.size(); ++subject) {
      if (!nodes_[observer].running || !nodes_[subject].running) continue;
      if (!filter(observer, subject)) continue;
      missing += StateAt(observer, subject) == MemberState::kDead ? 1 : 0;
    }
  }
  return missing;
}

auto MembershipNetwork::IsConverged() const -> bool {
  std::set<InstanceId> running;
  for (const auto& node : nodes_) {
    if (node.running) running.insert(node.self.instance);
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [&running](const Node& node) {
    if (!node.running) return true;
    const auto members = node.membership->Members();
    return members.size() == running.size() &&
           std::all_of(members.begin(), members.end(), [&running](const Member& member) {
             return member.state == MemberState::kAlive && running.contains(member.instance);
           });
  });
}

auto MembershipNetwork::AllSee(std::size_t subject,
                               const std::function<bool(MemberState)>& test) const -> bool {
  for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
    if (observer == subject || !nodes_[observer].running) continue;
    if (!test(StateAt(observer, subject))) return false;
  }
  return true;
}

}  // namespace heatherspan
