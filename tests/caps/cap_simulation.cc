#include "cap_simulation.h"

#include <algorithm>
#include <chrono>

#include "caps/share_lease.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeStep = milliseconds(20);
constexpr Duration kFirstChangeDelay = seconds(40);
const RegionName sofia("sofia");

}  // namespace

CapSimulation::Node::Node(RankedVm vm, double rate)
    : identity(vm), clock_rate(rate), holder(vm, sofia), grantor(vm.instance, sofia, term) {}

CapSimulation::CapSimulation(const Options& options) : options_(options), random_(options.seed) {
  versions_.emplace_back(now_, CapConfig{ConfigVersion(1), RequestsPerSecond(1'000), 0.5, kNodes});
  next_cap_change_ = now_ + kFirstChangeDelay;
  for (int i = 0; i < kNodes; ++i) AddNode();
}

auto CapSimulation::RandomChance(double probability) -> bool {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

auto CapSimulation::RandomDelay(int low, int high) -> Duration {
  return milliseconds(std::uniform_int_distribution<>(low, high)(random_));
}

auto CapSimulation::LocalTime(const Node& node) const -> MonotonicTime {
  const auto real = static_cast<double>(now_.time_since_epoch().count());
  return MonotonicTime(Duration(static_cast<std::int64_t>(real * node.clock_rate)));
}

auto CapSimulation::AddNode() -> void {
  const RankedVm vm{static_cast<std::int64_t>(now_.time_since_epoch().count() / 1'000'000),
                    InstanceId(next_instance_++)};
  const double rate = std::uniform_real_distribution<>(0.95, 1.05)(random_);
  nodes_.push_back(std::make_unique<Node>(vm, rate));
  auto& node = *nodes_.back();
  node.config = versions_.back().second;
  const auto age = now_ - versions_.back().first;
  node.holder.Configure(node.config, age, LocalTime(node));
  node.grantor.Configure(node.config, age, LocalTime(node));
}

auto CapSimulation::Run(Duration length) -> Result {
  const auto end = now_ + length;
  while (now_ < end && !result_.violation.has_value()) {
    now_ += kTimeStep;
    if (options_.faults) InjectFault();
    if (options_.cap_changes) ChangeCap();
    DeliverDue();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (Running(*nodes_[i])) Step(*nodes_[i]);
    }
    Check();
  }
  result_.mean_usable_fraction = checks_ == 0 ? 0 : usable_fraction_sum_ / checks_;
  return result_;
}

auto CapSimulation::InjectFault() -> void {
  if (RandomChance(0.001)) outage_until_ = now_ + RandomDelay(1'000, 20'000);
  const auto present =
      std::count_if(nodes_.begin(), nodes_.end(), [](const auto& node) { return !node->replaced; });
  if (present < kNodes && RandomChance(0.01)) AddNode();
  auto& node = *nodes_[random_() % nodes_.size()];
  if (!Running(node) || now_ < node.presumed_dead_until || !RandomChance(0.02)) return;
  ++result_.pauses;
  node.paused_until = now_ + RandomDelay(100, 12'000);
  // Membership removes a node that is silent for more than 6 s. A new node then replaces it.
  const bool killed = RandomChance(0.2);
  if (killed) node.paused_until = MonotonicTime::max();
  const bool replaced = killed || node.paused_until - now_ > seconds(6);
  if (!replaced) return;
  node.presumed_dead_from = now_ + RandomDelay(4'000, 6'000);
  // A process that resumes after it was declared dead announces that it is alive. The announcement
  // reaches the other nodes within the hold time.
  node.presumed_dead_until =
      killed ? MonotonicTime::max() : node.paused_until + RandomDelay(0, 2'000);
  result_.replacements += node.replaced ? 0 : 1;
  node.replaced = true;
}

auto CapSimulation::ChangeCap() -> void {
  if (now_ < next_cap_change_) return;
  next_cap_change_ = now_ + RandomDelay(12'000, 40'000);
  CapConfig config;
  config.version = ConfigVersion(versions_.back().second.version.value() + 1);
  config.cap = RequestsPerSecond(static_cast<double>(200 + random_() % 1'800));
  config.base_fraction = 0.1 * static_cast<double>(1 + random_() % 9);
  config.entry_vms_max = kNodes;
  versions_.emplace_back(now_, config);
  ++result_.versions;
}

auto CapSimulation::ApplyDueConfigs(Node& node) -> void {
  // Each node receives a version after a delay of its own, at most 9 s.
  for (const auto& [accepted, config] : versions_) {
    if (config.version <= node.config.version) continue;
    const auto delay = milliseconds(
        (config.version.value() * 7'919 + node.identity.instance.value() * 104'729) % 9'000);
    if (now_ < accepted + delay) continue;
    node.config = config;
    node.holder.Configure(config, now_ - accepted, LocalTime(node));
    node.grantor.Configure(config, now_ - accepted, LocalTime(node));
  }
}

auto CapSimulation::UpdateZoneView(Node& node) -> void {
  std::vector<RankedVm> vms;
  for (const auto& other : nodes_) {
    const bool presumed_dead =
        now_ >= other->presumed_dead_from && now_ < other->presumed_dead_until;
    if (!presumed_dead) vms.push_back(other->identity);
  }
  node.holder.OnZoneVms(vms, node.config.entry_vms_max, LocalTime(node));
}

auto CapSimulation::Step(Node& node) -> void {
  ApplyDueConfigs(node);
  if (RandomChance(0.2)) UpdateZoneView(node);
  if (RandomChance(0.01)) node.demand = static_cast<double>(random_() % 1'000);
  StepStore(node);
  const auto request = node.holder.MaybeRequest(LocalTime(node), RequestsPerSecond(node.demand));
  if (!request.has_value()) return;
  for (const auto& other : nodes_) Send(*other, node, *request);
}

auto CapSimulation::StepStore(Node& node) -> void {
  if (!node.call.has_value()) {
    const auto step = node.term.NextStep(LocalTime(node));
    if (step == GrantorTerm::Step::kNone) return;
    StoreCall call{step, LocalTime(node), now_ + RandomDelay(1, 100), now_, false, false, false};
    if (options_.faults && RandomChance(0.1)) call.arrival_time += RandomDelay(0, 4'000);
    call.answer_time = call.arrival_time + RandomDelay(1, 100);
    call.answer_lost = options_.faults && RandomChance(0.1);
    node.call = call;
    return;
  }
  auto& call = *node.call;
  if (now_ >= call.arrival_time && !call.executed) ExecuteStoreCall(node, call);
  if (now_ < call.answer_time) return;
  const bool succeeded = call.succeeded && !call.answer_lost;
  if (call.step == GrantorTerm::Step::kRenew) {
    if (succeeded) node.term.OnRenewed(call.sent_time);
    if (!succeeded)
      node.term.OnRenewFailed(role_holder_ != &node && !call.answer_lost, LocalTime(node));
  } else if (succeeded) {
    ++result_.terms;
    node.term.OnAcquired(StoreLeaseId(node.identity.instance.value()), call.sent_time);
    node.grantor.BeginTerm(LocalTime(node));
  } else {
    node.term.OnNotAcquired(LocalTime(node));
  }
  node.call.reset();
}

auto CapSimulation::ExecuteStoreCall(Node& node, StoreCall& call) -> void {
  call.executed = true;
  if (now_ < outage_until_) return;
  const bool held = role_holder_ != nullptr && now_ < role_lease_end_;
  const bool own = held && role_holder_ == &node;
  call.succeeded = call.step == GrantorTerm::Step::kRenew ? own : !held;
  if (!call.succeeded) return;
  role_holder_ = &node;
  role_lease_end_ = now_ + GrantorTerm::kTtl;
}

auto CapSimulation::Send(Node& to, Node& from, const std::variant<ShareRequest, ShareGrant>& body)
    -> void {
  const int copies = options_.faults && RandomChance(0.1) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (options_.faults && RandomChance(0.15)) continue;
    auto delay = RandomDelay(1, 80);
    if (options_.faults && RandomChance(0.1)) delay += RandomDelay(0, 5'000);
    messages_.push_back(Message{now_ + delay, &to, &from, body});
  }
}

auto CapSimulation::DeliverDue() -> void {
  std::vector<Message> due;
  std::erase_if(messages_, [&](const Message& message) {
    if (message.to->paused_until == MonotonicTime::max()) return true;
    if (message.delivery_time > now_ || !Running(*message.to)) return false;
    due.push_back(message);
    return true;
  });
  std::shuffle(due.begin(), due.end(), random_);
  for (const auto& message : due) Deliver(message);
}

auto CapSimulation::Deliver(const Message& message) -> void {
  auto& to = *message.to;
  if (const auto* grant = std::get_if<ShareGrant>(&message.body)) {
    if (to.holder.OnGrant(*grant, LocalTime(to))) to.last_grant = grant->share.value();
    return;
  }
  const auto grant = to.grantor.OnRequest(std::get<ShareRequest>(message.body), LocalTime(to));
  if (grant.has_value()) Send(*message.from, to, *grant);
}

auto CapSimulation::Usable(const Node& node) const -> double {
  const double usable = node.holder.UsableShare(LocalTime(node)).value();
  return options_.ignore_lease_end ? std::max(usable, node.last_grant) : usable;
}

auto CapSimulation::Check() -> void {
  double sum = 0;
  double cap = 0;
  for (const auto& node : nodes_) {
    // A killed process uses no share. A paused process counts as if it ran.
    if (node->paused_until == MonotonicTime::max()) continue;
    sum += Usable(*node);
    const bool in_force = Running(*node) || Usable(*node) > 0;
    if (in_force) cap = std::max(cap, node->config.cap.value());
  }
  caps_in_force_.emplace_back(now_, cap);
  while (caps_in_force_.front().first < now_ - GrantorLifetime(kShareLifetime)) {
    caps_in_force_.pop_front();
  }
  for (const auto& [time, earlier] : caps_in_force_) cap = std::max(cap, earlier);
  usable_fraction_sum_ += cap == 0 ? 0 : sum / cap;
  ++checks_;
  if (sum <= cap * (1 + 1e-9)) return;
  result_.violation = fmt::format("HS_SEED={} at {} ms: usable {:.3f}, cap {:.3f}", options_.seed,
                                  now_.time_since_epoch().count() / 1'000'000, sum, cap);
  for (const auto& node : nodes_) {
    if (node->paused_until == MonotonicTime::max()) continue;
    *result_.violation +=
        fmt::format("; node {}: version {}, usable {:.3f}{}", node->identity.instance.value(),
                    node->config.version.value(), Usable(*node), Running(*node) ? "" : ", paused");
  }
}

}  // namespace heatherspan
