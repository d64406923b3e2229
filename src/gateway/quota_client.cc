#include "gateway/quota_client.h"

#include <algorithm>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(200);
/// Between exchanges of a VM with itself.
constexpr Duration kOwnGap = std::chrono::milliseconds(5);

/// The VM with the highest rank is the keeper.
auto KeeperRank(const NodeName& vm) -> double {
  constexpr std::string_view kRole = "team-quotas";
  return RendezvousScore(StableHash(kRole), StableHash(vm.value()));
}

}  // namespace

auto QuotaClient::Acquire(const TeamName& team, Waiter waiter, MonotonicTime now)
    -> std::optional<TeamQuotaRuling> {
  const auto* budget = quotas_.Find(team);
  if (budget == nullptr) return Admit(MonotonicTime::min());
  auto& state = teams_[team];
  state.tokens.OnRequest();
  is_active_ = true;
  if (state.waiting.empty()) {
    if (state.tokens.Take(now)) return Admit(state.tokens.usable_until());
    if (local_.Take(team, *budget, now)) return Admit(MonotonicTime::min());
  }
  if (waiters_ >= kMaxWaiters || !MayWait(state, now)) return Refuse(state, now);
  state.waiting.push_back({waiter, now});
  ++waiters_;
  is_needed_ = true;
  return std::nullopt;
}

auto QuotaClient::GiveBack(const TeamName& team, MonotonicTime usable_until, MonotonicTime now)
    -> void {
  if (usable_until <= now) return;
  const auto found = teams_.find(team);
  if (found != teams_.end()) found->second.tokens.GiveBack(usable_until);
}

auto QuotaClient::Refuse(TeamState& state, MonotonicTime now) -> TeamQuotaRuling {
  return {false, state.tokens.OnRefused(std::max(state.retry_after, kLeastRetryAfter), now), {}};
}

auto QuotaClient::Update(double fraction, const QuotaTiming& timing,
                         const std::vector<EntryVm>& announced, MonotonicTime now) -> bool {
  fraction_ = fraction;
  timing_ = timing;
  for (const auto& vm : announced) {
    if (vm.name != self_ && vm.peer_endpoint.address.empty()) continue;
    auto& candidate = candidates_[vm.name];
    if (candidate.vm != vm) candidate.vm = vm;
    candidate.seen_at = now;
  }
  absl::erase_if(candidates_,
                 [&](const auto& entry) { return now - entry.second.seen_at > kKeeperRetention; });
  const auto before = keeper_.has_value() ? keeper_->name : NodeName();
  if (!exchange_.has_value()) ChooseKeeper(now);
  UpdateLocal(now);
  SettleAll(now);
  return (keeper_.has_value() ? keeper_->name : NodeName()) != before;
}

auto QuotaClient::OnQuotasChanged() -> void {
  for (auto& [team, state] : teams_) state.dry_until = MonotonicTime{};
}

auto QuotaClient::ChooseKeeper(MonotonicTime now) -> void {
  const Candidate* best = nullptr;
  for (const auto& [name, candidate] : candidates_) {
    if (candidate.is_suspect) continue;
    if (best == nullptr || KeeperRank(name) > KeeperRank(best->vm.name)) best = &candidate;
  }
  const bool is_same = best != nullptr && keeper_.has_value() && keeper_->name == best->vm.name;
  const bool answers = keeper_.has_value() && !has_failed_ && stamp_.has_value();
  is_releasing_ = !is_same && answers && lent_to_ == keeper_->name && now < lent_until_;
  if (is_releasing_) {
    is_needed_ = true;
    return;
  }
  if (!is_same) {
    stamp_.reset();
    has_failed_ = false;
    is_needed_ = true;
  }
  keeper_ = best == nullptr ? std::nullopt : std::optional(best->vm);
}

auto QuotaClient::BeginProbe(MonotonicTime now) -> std::optional<EntryVm> {
  Candidate* best = nullptr;
  for (auto& [name, candidate] : candidates_) {
    const bool outranks = !keeper_.has_value() || KeeperRank(name) > KeeperRank(keeper_->name);
    if (!candidate.is_suspect || candidate.probe_at > now || !outranks) continue;
    if (best == nullptr || KeeperRank(name) > KeeperRank(best->vm.name)) best = &candidate;
  }
  if (best == nullptr) return std::nullopt;
  best->probe_at = now + kProbeInterval;
  return best->vm;
}

auto QuotaClient::OnProbed(const NodeName& vm, bool answered) -> void {
  const auto found = candidates_.find(vm);
  if (found != candidates_.end() && answered) found->second.is_suspect = false;
}

auto QuotaClient::HasKeeper(MonotonicTime now) const -> bool {
  return stamp_.has_value() && now < stamp_at_ + timing_.loan_time;
}

auto QuotaClient::MayWait(const TeamState& state, MonotonicTime now) const -> bool {
  if (!HasKeeper(now)) return local_.fraction() <= 0;
  return state.dry_until <= now || now >= lent_until_;
}

auto QuotaClient::MayLend(MonotonicTime now) const -> bool {
  if (!HasKeeper(now) || is_releasing_) return false;
  return lent_to_ == keeper_->name || now >= FreeAt();
}

auto QuotaClient::FreeAt() const -> MonotonicTime {
  const auto overlap = std::min(timing_.token_life, TeamQuotaBudget::kMoveOverlap);
  return lent_until_ + timing_.token_life - overlap;
}

auto QuotaClient::UpdateLocal(MonotonicTime now) -> void {
  local_.SetFraction(now >= FreeAt() ? fraction_ : 0, now);
}

auto QuotaClient::NextAskAt() const -> std::optional<MonotonicTime> {
  if (!keeper_.has_value() || exchange_.has_value() || quotas_.empty()) return std::nullopt;
  const auto gap = keeper_->name == self_ ? kOwnGap : timing_.min_gap;
  const auto interval = is_needed_ ? gap : is_active_ ? timing_.interval : timing_.idle_interval;
  return last_ask_at_ + interval;
}

auto QuotaClient::BeginAsk(MonotonicTime now) -> QuotaAsk {
  QuotaAsk ask;
  ask.node = self_;
  if (MayLend(now)) {
    lent_to_ = keeper_->name;
    lent_until_ = std::max(lent_until_, stamp_at_ + timing_.loan_time);
    ask.fraction = fraction_;
  }
  ask.stamp = stamp_;
  exchange_ = Exchange{now, {}, is_releasing_};
  for (auto& [team, state] : teams_) {
    state.tokens.UpdateRates(now);
    if (ask.teams.size() >= QuotaAsk::kMaxTeams) continue;
    QuotaAsk::Item item;
    item.team = team;
    const int expected = state.tokens.Expected(timing_.interval);
    item.needed = static_cast<int>(state.waiting.size());
    item.returned = state.tokens.TakeSpare(2 * expected, now);
    const int held = state.tokens.Count(now);
    const bool ends_soon = held > 0 && state.tokens.usable_until() - now < timing_.interval;
    if (ends_soon || 2 * held < expected) item.ahead = std::max(0, expected - held);
    if (!ends_soon && item.returned == 0 && item.needed == 0 && item.ahead == 0) continue;
    item.renewed = held;
    ask.teams.push_back(item);
    exchange_->teams.push_back(team);
  }
  absl::erase_if(teams_, [now](const auto& entry) {
    return entry.second.waiting.empty() && entry.second.tokens.IsIdle(now);
  });
  is_active_ = !teams_.empty();
  is_needed_ = false;
  last_ask_at_ = now;
  UpdateLocal(now);
  return ask;
}

auto QuotaClient::OnAnswer(const QuotaAnswer& answer, MonotonicTime now) -> void {
  if (!exchange_.has_value()) return;
  const auto exchange = *std::exchange(exchange_, std::nullopt);
  // The first answer of a keeper only gives its stamp.
  is_needed_ =
      exchange.releases || !stamp_.has_value() || stamp_->instance != answer.stamp.instance;
  has_failed_ = false;
  stamp_ = answer.stamp;
  stamp_at_ = now;
  if (exchange.releases) lent_until_ = std::min(lent_until_, now);
  const auto usable_until = exchange.sent_at + std::min(answer.token_life, ask_timeout());
  const auto count = std::min(exchange.teams.size(), answer.teams.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto& state = teams_[exchange.teams[i]];
    const auto& item = answer.teams[i];
    state.tokens.OnGranted(item.granted, item.renewed, usable_until, now);
    state.retry_after = item.retry_after;
    if (item.retry_after > Duration::zero()) {
      state.dry_until = now + std::min(timing_.interval, item.retry_after);
    }
  }
  if (exchange.releases) ChooseKeeper(now);
  UpdateLocal(now);
  SettleAll(now);
}

auto QuotaClient::OnFailure(Failure failure, MonotonicTime now) -> void {
  if (!exchange_.has_value()) return;
  exchange_.reset();
  has_failed_ = true;
  if (failure == Failure::kDeclined && lent_to_ == keeper_->name) {
    lent_until_ = std::min(lent_until_, now);
  }
  // Before the loan ends, another keeper would have no more than this one.
  if (failure == Failure::kDeclined || !HasKeeper(now)) {
    const auto found = candidates_.find(keeper_->name);
    if (found != candidates_.end()) {
      found->second.is_suspect = true;
      found->second.probe_at = now + kProbeInterval;
    }
  }
  ChooseKeeper(now);
  is_needed_ = true;
  UpdateLocal(now);
  SettleAll(now);
}

auto QuotaClient::Settle(const TeamName& team, TeamState& state, MonotonicTime now) -> void {
  const auto* budget = quotas_.Find(team);
  while (!state.waiting.empty()) {
    const auto& first = state.waiting.front();
    std::optional<TeamQuotaRuling> ruling;
    if (budget != nullptr && state.tokens.Take(now)) {
      ruling = Admit(state.tokens.usable_until());
    } else if (budget == nullptr || local_.Take(team, *budget, now)) {
      ruling = Admit(MonotonicTime::min());
    } else if (!MayWait(state, now) || now - first.since >= timing_.max_wait) {
      ruling = Refuse(state, now);
    }
    if (!ruling.has_value()) {
      is_needed_ = true;
      return;
    }
    rulings_.emplace_back(first.waiter, *ruling);
    state.waiting.pop_front();
    --waiters_;
  }
}

auto QuotaClient::SettleAll(MonotonicTime now) -> void {
  if (waiters_ == 0) return;
  for (auto& [team, state] : teams_) Settle(team, state, now);
}

auto QuotaClient::TakeRulings() -> std::vector<std::pair<Waiter, TeamQuotaRuling>> {
  return std::exchange(rulings_, {});
}

auto QuotaClient::TokensOf(const TeamName& team, MonotonicTime now) const -> int {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.tokens.Count(now);
}

}  // namespace heatherspan
