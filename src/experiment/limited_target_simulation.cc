#include "experiment/limited_target_simulation.h"

#include <algorithm>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStepTime = milliseconds(20);
constexpr Duration kProcessingTime = milliseconds(160);
/// Timing of announcements: renewals, the lease's lifetime, and the time until others know.
constexpr Duration kRenewalInterval = milliseconds(1300);
constexpr Duration kLeaseLifetime = seconds(3);
constexpr Duration kMaxSpreadTime = milliseconds(2000);
constexpr Duration kToldDelay = milliseconds(500);
/// How often a gateway updates its shares.
constexpr Duration kTickInterval = milliseconds(250);
constexpr std::size_t kZones = 6;

auto Target() -> TargetName { return TargetName("i-1"); }
auto Service() -> ServiceName { return ServiceName("s"); }

auto ZoneOf(std::size_t vm) -> ZoneName { return ZoneName("z" + std::to_string(vm % kZones)); }
auto RegionOf(std::size_t vm) -> RegionName { return RegionName("r" + std::to_string(vm % 3)); }

auto Policy() -> TrafficPolicy {
  TrafficPolicy policy;
  policy.version = ConfigVersion(1);
  Route route;
  route.name = RouteName("read");
  route.host = "h";
  route.path_prefix = "/";
  route.retry_rule = RetryRule::kIdempotent;
  route.timeout = seconds(20);
  route.objective = seconds(10);
  route.weighted_services = {{Service(), 1}};
  policy.routes = {route};
  policy.services = {{Service(), "/health", 1000, seconds(3), 2}};
  return policy;
}

auto CoreOptions(const EntryVm& vm) -> GatewayCore::Options {
  GatewayCore::Options options;
  options.node = vm.name;
  options.location.zone = vm.zone;
  options.location.region = vm.region;
  for (std::size_t i = 0; i < kZones; ++i) options.zones[ZoneOf(i)] = RegionOf(i);
  options.spillover.max_fraction_increase = 1;
  return options;
}

}  // namespace

LimitedTargetSimulation::LimitedTargetSimulation(const LimitedTargetSimulation::Options& options)
    : options_(options), random_(options.seed) {
  for (std::size_t vm = 0; vm < options.vm_count; ++vm) Add();
}

auto LimitedTargetSimulation::Add() -> void {
  const auto vm = vms_.size();
  const auto name = "vm-" + std::to_string(vm);
  vms_.emplace_back();
  vms_[vm].entry = {NodeName(name), ZoneOf(vm), RegionOf(vm), {name, 1}, {name, 2}};
  vms_[vm].starts_at = now_ + milliseconds(random_() % 300);
}

auto LimitedTargetSimulation::Start(std::size_t vm) -> void {
  auto& state = vms_[vm];
  state.core = std::make_unique<GatewayCore>(CoreOptions(state.entry), random_());
  state.core->ApplyPolicy(Policy());
  state.core->fleet().Register({Target(), Service(), ZoneOf(0), {"t", 1}, 100, false, {}, 1}, now_);
  // The listing of the store.
  for (const auto& other : vms_) {
    if (other.announced) state.core->entry_vms().Announce(other.entry, now_);
  }
  state.renewed_at = {};
}

auto LimitedTargetSimulation::Kill(std::size_t vm, Duration down) -> void {
  auto& state = vms_[vm];
  state.core = nullptr;
  state.news.clear();
  state.answers.clear();
  state.told_at = MonotonicTime::max();
  state.starts_at = now_ + down;
}

auto LimitedTargetSimulation::RunFor(Duration duration) -> void {
  for (const auto end = now_ + duration; now_ < end; now_ += kStepTime) Step();
}

auto LimitedTargetSimulation::Step() -> void {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (vms_[vm].core == nullptr && now_ >= vms_[vm].starts_at) Start(vm);
    StepStore(vm);
    if (vms_[vm].core != nullptr && now_ >= vms_[vm].frozen_until) StepVm(vm);
  }
  largest_share_sum_ = std::max(largest_share_sum_, ShareSum());
}

auto LimitedTargetSimulation::ShareSum() -> double {
  double sum = 0;
  for (const auto& vm : vms_) {
    if (vm.core == nullptr || now_ < vm.frozen_until) continue;
    sum += vm.core->fleet().Find(Target())->limit().share().value();
  }
  return sum;
}

auto LimitedTargetSimulation::Spread(std::size_t vm, bool announced) -> void {
  vms_[vm].announced = announced;
  for (auto& other : vms_) {
    const auto delay =
        Duration(std::uniform_int_distribution<Duration::rep>(0, kMaxSpreadTime.count())(random_));
    // Changes arrive in order.
    const auto at = std::max(now_ + delay, other.news.empty() ? now_ : other.news.back().at);
    if (other.core != nullptr) other.news.push_back({at, vm, announced});
  }
}

auto LimitedTargetSimulation::StepStore(std::size_t vm) -> void {
  auto& state = vms_[vm];
  const bool renews =
      state.core != nullptr && now_ >= std::max(state.frozen_until, state.cut_until);
  if (renews && now_ - state.renewed_at >= kRenewalInterval) {
    state.renewed_at = now_;
    state.core->OnAnnouncementRenewed(now_);
    if (!state.announced) Spread(vm, true);
  }
  if (state.announced && now_ - state.renewed_at > kLeaseLifetime) Spread(vm, false);
}

auto LimitedTargetSimulation::StepVm(std::size_t vm) -> void {
  auto& state = vms_[vm];
  auto& core = *state.core;
  if (now_ >= state.cut_until) {
    while (!state.news.empty() && state.news.front().at <= now_) {
      const auto& news = state.news.front();
      if (news.announced) {
        core.entry_vms().Announce(vms_[news.vm].entry, now_);
      } else {
        core.entry_vms().Withdraw(vms_[news.vm].entry.name, false, now_);
      }
      state.news.pop_front();
    }
  }
  if (now_ >= state.next_tick) {
    core.OnTick(now_);
    state.next_tick = now_ + kTickInterval;
    TellOfLimits(vm);
  }
  std::erase_if(state.answers, [&](Answer& answer) {
    if (answer.at > now_) return false;
    core.EndAttempt(answer.request, answer.attempt, AttemptOutcome::kSucceeded, std::nullopt, now_);
    core.OnLimitReport(
        {Target(), limited_ ? std::optional(RequestsPerSecond(options_.limit)) : std::nullopt, {}},
        now_);
    if (limited_) state.told_at = std::min(state.told_at, now_);
    return true;
  });
  const double chance = options_.demand * std::chrono::duration<double>(kStepTime).count();
  for (auto left = chance; left > 0; left -= 1) {
    if (std::uniform_real_distribution<double>(0, 1)(random_) < left) SendRequest(state);
  }
}

auto LimitedTargetSimulation::TellOfLimits(std::size_t vm) -> void {
  const auto is_reachable = [&](const Vm& state) {
    return state.core != nullptr && now_ >= std::max(state.frozen_until, state.cut_until);
  };
  auto& state = vms_[vm];
  auto& peer = vms_[random_() % vms_.size()];
  if (&peer == &state || !is_reachable(state) || !is_reachable(peer)) return;
  for (const auto& report : state.core->LimitReports(now_)) peer.core->OnLimitReport(report, now_);
  for (const auto& report : peer.core->LimitReports(now_)) state.core->OnLimitReport(report, now_);
}

auto LimitedTargetSimulation::SendRequest(Vm& vm) -> void {
  auto request = vm.core->Admit(RequestId(std::to_string(++last_request_)),
                                *vm.core->routes().Find("h", "/x"), "", std::nullopt, now_);
  const auto result = vm.core->Place(request, now_);
  if (!result.placement.has_value()) return;
  const auto attempt = vm.core->BeginAttempt(request, *result.placement, now_);
  vm.answers.push_back({now_ + kProcessingTime, std::move(request), attempt});
  const bool told = vm.told_at != MonotonicTime::max() && now_ - vm.told_at >= kToldDelay;
  sent_.push_back({now_, told});
}

auto LimitedTargetSimulation::MostInFourSeconds() const -> int {
  int most = 0;
  int count = 0;
  std::size_t first = 0;
  for (const auto& sent : sent_) {
    count += sent.told ? 1 : 0;
    while (sent.at - sent_[first].at >= seconds(4)) count -= sent_[first++].told ? 1 : 0;
    most = std::max(most, count);
  }
  return most;
}

auto LimitedTargetSimulation::SentInLast(Duration span) const -> int {
  return static_cast<int>(std::count_if(sent_.begin(), sent_.end(),
                                        [&](const Sent& sent) { return now_ - sent.at < span; }));
}

}  // namespace heatherspan
