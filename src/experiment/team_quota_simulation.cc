#include "experiment/team_quota_simulation.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTickInterval = milliseconds(250);
/// Of a large fleet, whose VMs take the model long.
constexpr Duration kLargeTickInterval = milliseconds(1000);
constexpr std::size_t kLargeFleet = 100;
constexpr Duration kRenewalInterval = milliseconds(1300);
constexpr Duration kLeaseLifetime = seconds(3);
constexpr Duration kChangeBound = milliseconds(2500);
constexpr Duration kMaxNewsDelay = milliseconds(2000);
constexpr double kZipfExponent = 1.2;
constexpr double kQuotaFactor = 1.6;
constexpr std::size_t kVmsOfTeam = 4;
/// Of a message without teams, HTTP included, and for each team.
constexpr std::int64_t kMessageBytes = 420;
constexpr std::int64_t kTeamBytes = 32;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}
auto ToDuration(double time) -> Duration {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

}  // namespace

TeamQuotaSimulation::TeamQuotaSimulation(const Options& options)
    : options_(options), random_(options.seed), leases_(options.vm_count) {
  double sum = 0;
  for (std::size_t i = 0; i < options.team_count; ++i) sum += std::pow(i + 1, -kZipfExponent);
  for (std::size_t i = 0; i < options.team_count; ++i) {
    auto& state = teams_.emplace_back();
    state.rate = options.requests_per_second * std::pow(i + 1, -kZipfExponent) / sum;
    state.team.name = TeamName("team-" + std::to_string(i));
    state.team.quota = {RequestsPerSecond(kQuotaFactor * state.rate), kQuotaFactor * state.rate};
    state.owed_at = scheduler_.now();
  }
  for (std::size_t i = 0; i < options.vm_count; ++i) {
    const auto name = "vm-" + std::to_string(i);
    auto vm = std::make_unique<Vm>();
    vm->entry.name = NodeName(name);
    vm->entry.region = RegionName("r" + std::to_string(i % 3));
    vm->entry.peer_endpoint = {name, 1};
    vm->index = i;
    vm_numbers_[name] = i;
    vms_.push_back(std::move(vm));
    scheduler_.RunAfter(milliseconds(random_() % 300), [this, i] { Start(i); });
  }
  ExpireLeases();
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    MoveCallers(i);
    // Traffic begins when the VMs know each other.
    scheduler_.RunAfter(seconds(10), [this, i] { ScheduleRequest(i); });
  }
  counted_since_ = scheduler_.now();
}

auto TeamQuotaSimulation::CountedSeconds() const -> double {
  return std::max(1e-9, Seconds(scheduler_.now() - counted_since_));
}

auto TeamQuotaSimulation::ResetCounts() -> void {
  counted_since_ = scheduler_.now();
  waited_ = messages_ = bytes_ = 0;
  for (auto& team : teams_) team.owed = team.admitted = 0;
}

auto TeamQuotaSimulation::Lost() const -> double {
  std::int64_t lost = 0;
  for (const auto& team : teams_) lost += std::max<std::int64_t>(0, team.owed - team.admitted);
  return static_cast<double>(lost) / static_cast<double>(std::max<std::int64_t>(1, owed()));
}

auto TeamQuotaSimulation::owed() const -> std::int64_t {
  std::int64_t sum = 0;
  for (const auto& team : teams_) sum += team.owed;
  return sum;
}

auto TeamQuotaSimulation::WaitedPart() const -> double {
  std::int64_t admitted = 0;
  for (const auto& team : teams_) admitted += team.admitted;
  return static_cast<double>(waited_) / static_cast<double>(std::max<std::int64_t>(1, admitted));
}

auto TeamQuotaSimulation::Teams() const -> std::vector<Team> {
  std::vector<Team> teams;
  for (const auto& state : teams_) teams.push_back(state.team);
  return teams;
}

auto TeamQuotaSimulation::HasStore(const Vm& vm) const -> bool {
  const auto now = scheduler_.now();
  return now >= store_away_until_ && now >= vm.store_cut_until;
}

auto TeamQuotaSimulation::Kill(std::size_t vm, Duration down) -> void {
  auto& state = *vms_[vm];
  if (!state.is_up) return;
  state.is_up = false;
  ++state.life;
  // The callers of requests that wait come back elsewhere.
  state.waiting.clear();
  scheduler_.RunAfter(down, [this, vm] { Start(vm); });
}

auto TeamQuotaSimulation::Cut(std::size_t vm, bool from_vms, Duration time) -> void {
  vms_[vm]->store_cut_until = scheduler_.now() + time;
  if (from_vms) vms_[vm]->vms_cut_until = scheduler_.now() + time;
}

auto TeamQuotaSimulation::Heat(std::size_t team, double factor, Duration time) -> void {
  teams_[team].heat = factor;
  teams_[team].heat_until = scheduler_.now() + time;
}

auto TeamQuotaSimulation::SetQuota(std::size_t team, double factor) -> void {
  auto& state = teams_[team];
  state.earlier_allowed = rule_.Allowed(state.team.quota);
  state.earlier_until = scheduler_.now() + kMaxNewsDelay + rule_.window;
  state.team.quota.rate = RequestsPerSecond(state.team.quota.rate.value() * factor);
  state.team.quota.burst *= factor;
  for (auto& vm : vms_) {
    scheduler_.RunAfter(milliseconds(random_() % 1000), [this, &vm = *vm] {
      if (!vm.is_up) return;
      vm.quotas.Apply(Teams());
      vm.keeper->OnQuotasChanged(scheduler_.now());
      vm.client->OnQuotasChanged();
    });
  }
}

auto TeamQuotaSimulation::Keeper() const -> std::size_t {
  std::vector<int> votes(vms_.size());
  for (const auto& vm : vms_) {
    if (vm->is_up && vm->client->keeper().has_value()) {
      ++votes[vm_numbers_.at(vm->client->keeper()->name.value())];
    }
  }
  return static_cast<std::size_t>(std::max_element(votes.begin(), votes.end()) - votes.begin());
}

auto TeamQuotaSimulation::Start(std::size_t vm) -> void {
  auto& state = *vms_[vm];
  if (!HasStore(state)) {
    // Without a configuration the process serves nobody.
    scheduler_.RunAfter(milliseconds(200), [this, vm] { Start(vm); });
    return;
  }
  const auto now = scheduler_.now();
  state.is_up = true;
  state.quotas.Apply(Teams());
  state.fraction.emplace(state.entry.name);
  state.fraction->SetChangeBound(kChangeBound);
  state.keeper.emplace(InstanceId(random_()), state.quotas);
  state.client.emplace(state.entry.name, state.quotas);
  state.announced.clear();
  state.news_read = 0;
  state.news_delay = milliseconds(random_() % (kMaxNewsDelay / milliseconds(1)));
  ReadNews(state, now);
  state.fraction->OnFirstState(state.announced, now);
  Renew(vm, state.life);
  Tick(vm, state.life);
}

auto TeamQuotaSimulation::Renew(std::size_t vm, int life) -> void {
  auto& state = *vms_[vm];
  if (!state.is_up || state.life != life) return;
  const auto now = scheduler_.now();
  scheduler_.RunAfter(kRenewalInterval, [this, vm, life] { Renew(vm, life); });
  if (!HasStore(state)) return;
  if (!leases_[vm].has_value()) news_.push_back({now, vm, true});
  leases_[vm] = now + kLeaseLifetime;
  state.fraction->OnAnnouncementRenewed(now);
}

auto TeamQuotaSimulation::ExpireLeases() -> void {
  const auto now = scheduler_.now();
  for (std::size_t vm = 0; now >= store_away_until_ && vm < leases_.size(); ++vm) {
    if (!leases_[vm].has_value() || *leases_[vm] > now) continue;
    leases_[vm].reset();
    news_.push_back({now, vm, false});
  }
  scheduler_.RunAfter(milliseconds(200), [this] { ExpireLeases(); });
}

auto TeamQuotaSimulation::ReadNews(Vm& vm, MonotonicTime until) -> void {
  if (!HasStore(vm)) return;
  for (; vm.news_read < news_.size() && news_[vm.news_read].at <= until; ++vm.news_read) {
    const auto& news = news_[vm.news_read];
    const auto& entry = vms_[news.vm]->entry;
    std::erase_if(vm.announced, [&](const EntryVm& other) { return other.name == entry.name; });
    if (news.announced) vm.announced.push_back(entry);
  }
}

auto TeamQuotaSimulation::Tick(std::size_t vm, int life) -> void {
  auto& state = *vms_[vm];
  if (!state.is_up || state.life != life) return;
  scheduler_.RunAfter(vms_.size() > kLargeFleet ? kLargeTickInterval : kTickInterval,
                      [this, vm, life] { Tick(vm, life); });
  const auto now = scheduler_.now();
  ReadNews(state, now - state.news_delay);
  state.fraction->Update(state.announced, now);
  state.client->Update(state.fraction->value(), QuotaTiming::For(state.fraction->vm_count()),
                       state.announced, now);
  if (const auto peer = state.client->BeginProbe(now)) {
    const auto& other = *vms_[vm_numbers_.at(peer->name.value())];
    state.client->OnProbed(
        peer->name, other.is_up && now >= std::max(other.vms_cut_until, state.vms_cut_until));
  }
  Proceed(state);
}

auto TeamQuotaSimulation::Proceed(Vm& vm) -> void {
  const auto now = scheduler_.now();
  auto due = vm.client->NextAskAt();
  while (due.has_value() && *due <= now) {
    Ask(vm);
    due = vm.client->NextAskAt();
  }
  for (const auto& [waiter, ruling] : vm.client->TakeRulings()) {
    const auto waiting = vm.waiting.extract(waiter);
    if (waiting.empty()) continue;
    waited_ += ruling.admitted ? 1 : 0;
    Rule(waiting.mapped().first, waiting.mapped().second, ruling);
  }
  if (!due.has_value() || vm.next_ask <= *due) return;
  vm.next_ask = *due;
  scheduler_.RunAfter(*due - now, [this, &vm, life = vm.life] {
    if (vm.next_ask <= scheduler_.now()) vm.next_ask = MonotonicTime::max();
    if (vm.is_up && vm.life == life) Proceed(vm);
  });
}

auto TeamQuotaSimulation::MessageTime(const Vm& from, const Vm& to) -> Duration {
  auto time = from.entry.region == to.entry.region ? milliseconds(1) : milliseconds(35);
  time += milliseconds(random_() % 5);
  if (std::bernoulli_distribution(options_.message_delay)(random_)) {
    time += milliseconds(random_() % 2000);
  }
  return time;
}

auto TeamQuotaSimulation::Ask(Vm& vm) -> void {
  const auto now = scheduler_.now();
  const auto ask = vm.client->BeginAsk(now);
  const auto number = ++vm.ask;
  auto& keeper = *vms_[vm_numbers_.at(vm.client->keeper()->name.value())];
  const auto timing = [](const Vm& at) { return QuotaTiming::For(at.fraction->vm_count()); };
  if (&keeper == &vm) {
    vm.client->OnAnswer(vm.keeper->OnAsk(ask, timing(vm), now), now);
    return;
  }
  messages_ += 2;
  bytes_ += 2 * kMessageBytes + 2 * kTeamBytes * static_cast<std::int64_t>(ask.teams.size());
  const auto reply = [this, index = vm.index, life = vm.life, number](
                         Duration delay, const std::optional<QuotaAnswer>& answer,
                         QuotaClient::Failure failure) {
    scheduler_.RunAfter(delay, [=, this] { Reply(index, life, number, answer, failure); });
  };
  reply(vm.client->ask_timeout(), std::nullopt, QuotaClient::Failure::kLost);
  const auto is_lost = [&] {
    return scheduler_.now() < std::max(vm.vms_cut_until, keeper.vms_cut_until) ||
           std::bernoulli_distribution(options_.message_loss)(random_);
  };
  if (is_lost()) return;
  scheduler_.RunAfter(MessageTime(vm, keeper), [this, reply, timing, ask, &keeper, &vm, is_lost] {
    const auto back = MessageTime(keeper, vm);
    if (!keeper.is_up) {
      reply(back, std::nullopt, QuotaClient::Failure::kDeclined);
      return;
    }
    const auto answer = keeper.keeper->OnAsk(ask, timing(keeper), scheduler_.now());
    if (!is_lost()) reply(back, answer, QuotaClient::Failure::kLost);
  });
}

auto TeamQuotaSimulation::Reply(std::size_t vm, int life, std::uint64_t ask,
                                const std::optional<QuotaAnswer>& answer,
                                QuotaClient::Failure failure) -> void {
  auto& state = *vms_[vm];
  if (!state.is_up || state.life != life || state.ask != ask) return;
  ++state.ask;  // A later reply is to an exchange that has ended.
  if (answer.has_value()) {
    state.client->OnAnswer(*answer, scheduler_.now());
  } else {
    state.client->OnFailure(failure, scheduler_.now());
  }
  Proceed(state);
}

auto TeamQuotaSimulation::MoveCallers(std::size_t team) -> void {
  auto& vms = teams_[team].vms;
  vms.clear();
  for (std::size_t i = 0; i < kVmsOfTeam; ++i) vms.push_back(random_() % vms_.size());
  scheduler_.RunAfter(milliseconds(5000 + random_() % 10000), [this, team] { MoveCallers(team); });
}

auto TeamQuotaSimulation::ScheduleRequest(std::size_t team) -> void {
  auto& state = teams_[team];
  const double heat = scheduler_.now() < state.heat_until ? state.heat : 1;
  std::exponential_distribution<double> gap(state.rate * heat);
  scheduler_.RunAfter(ToDuration(gap(random_)), [this, team] {
    Request(team);
    ScheduleRequest(team);
  });
}

auto TeamQuotaSimulation::Request(std::size_t team) -> void {
  auto& state = teams_[team];
  const auto now = scheduler_.now();
  auto* vm = vms_[state.vms[random_() % state.vms.size()]].get();
  for (int tries = 0; !vm->is_up && tries < 20; ++tries) vm = vms_[random_() % vms_.size()].get();
  if (!vm->is_up) return;  // No VM takes the request: no matter of its quota.
  const auto& quota = state.team.quota;
  state.owed_tokens =
      std::min(quota.burst, state.owed_tokens + quota.rate.value() * Seconds(now - state.owed_at));
  state.owed_at = now;
  const bool owed = state.owed_tokens >= 1;
  if (owed) --state.owed_tokens;
  const auto ruling = vm->client->Acquire(state.team.name, ++vm->last_waiter, now);
  if (ruling.has_value()) {
    Rule(team, owed, *ruling);
    return;
  }
  vm->waiting[vm->last_waiter] = {team, owed};
  Proceed(*vm);
}

auto TeamQuotaSimulation::Rule(std::size_t team, bool owed, const TeamQuotaRuling& ruling) -> void {
  auto& state = teams_[team];
  const auto now = scheduler_.now();
  state.owed += owed ? 1 : 0;
  if (!ruling.admitted) return;
  ++state.admitted;
  auto& runs = state.runs;
  runs.push_back(now);
  while (runs.front() <= now - rule_.window) runs.pop_front();
  auto allowed = rule_.Allowed(state.team.quota);
  if (now < state.earlier_until) allowed = std::max(allowed, state.earlier_allowed);
  largest_use_ = std::max(largest_use_, {static_cast<double>(runs.size()) / allowed, team});
}

}  // namespace heatherspan
