#include "experiment/store_spread_simulation.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "base/number_text.h"
#include "gateway/peer_selection.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr Duration kZoneDelay = std::chrono::microseconds(500);
constexpr Duration kRegionDelay = milliseconds(35);
/// The store stands in this region.
constexpr std::size_t kStoreRegion = 0;
/// Timing of the gateway: the pause after a batch of changes, the timeout of a call, the time after
/// which an answer is overdue, and the longest pause after a failed call.
constexpr Duration kBatchDelay = milliseconds(900);
constexpr Duration kCallTimeout = milliseconds(2000);
constexpr Duration kOverdueTime = milliseconds(500);
constexpr Duration kBackoff = milliseconds(800);
constexpr Duration kRoleCheckInterval = milliseconds(100);
/// A frozen VM looks again after this time.
constexpr Duration kFreezeCheck = milliseconds(50);
/// Items of one page. Small, so that listings have several pages.
constexpr std::size_t kPageItems = 7;
constexpr std::string_view kNamePrefix = "vm-";

}  // namespace

StoreSpreadSimulation::StoreSpreadSimulation(const Options& options)
    : options_(options),
      random_(options.seed),
      scheduler_(MonotonicTime(std::chrono::hours(1))),
      vms_(options.vm_count) {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) Restart(vm);
}

auto StoreSpreadSimulation::Name(std::size_t vm) const -> std::string {
  return std::string(kNamePrefix) + std::to_string(vm);
}

auto StoreSpreadSimulation::Put(const std::string& key) -> void {
  Write({key, std::to_string(++last_write_), 0});
}

auto StoreSpreadSimulation::Remove(const std::string& key) -> void {
  if (store_items_.contains(key)) Write({key, std::nullopt, 0});
}

auto StoreSpreadSimulation::Write(StoreChange change) -> void {
  change.revision = ++revision_;
  if (change.value.has_value()) {
    store_items_[change.key] = change;
  } else {
    store_items_.erase(change.key);
  }
  history_[revision_] = {std::move(change), now()};
  OnStoreChanged();
}

auto StoreSpreadSimulation::Restore(Duration age) -> void {
  while (!history_.empty() && history_.rbegin()->second.made_at > now() - age) {
    history_.erase(std::prev(history_.end()));
  }
  revision_ = history_.empty() ? 1 : history_.rbegin()->first;
  history_start_ = std::min(history_start_, revision_);
  store_items_.clear();
  for (const auto& [revision, event] : history_) {
    if (event.change.value.has_value()) {
      store_items_[event.change.key] = event.change;
    } else {
      store_items_.erase(event.change.key);
    }
  }
  era_ += StoreEra(1);
  // Calls that wait are cut.
  watches_.clear();
}

auto StoreSpreadSimulation::Restart(std::size_t vm) -> void {
  auto& state = vms_[vm];
  const auto life = state.life + 1;
  const auto reach = state.reach;
  state = Vm();
  state.reach = reach;
  state.life = life;
  const auto timing = StoreReadTiming::For(options_.change_bound);
  state.role.SetTiming(timing);
  state.sync_state.SetMaxGap(timing.max_answer_gap());
  if (options_.peers_ask) {
    state.role.SetPeers(SelectPeersOf(vm));
  }
  CallStore(vm, life);
  const auto first_questions = Duration(std::uniform_int_distribution<Duration::rep>(
      0, StoreReaderRole::kQuestionInterval.count())(random_));
  if (options_.peers_ask) {
    RunAt(vm, life, first_questions, [this, vm, life] { AskPeers(vm, life); });
  }
}

auto StoreSpreadSimulation::SelectPeersOf(std::size_t vm) const -> PeerSelection {
  std::vector<EntryVm> announced;
  for (std::size_t peer = 0; peer < vms_.size(); ++peer) {
    announced.push_back({NodeName(Name(peer)),
                         ZoneName(std::to_string(Zone(peer))),
                         RegionName(std::to_string(Region(peer))),
                         {},
                         {Name(peer), 1}});
  }
  const auto& self = announced[vm];
  return SelectPeers(announced, self.name, self.zone, self.region);
}

auto StoreSpreadSimulation::Delay(std::size_t from_region, std::size_t to_region) -> Duration {
  return from_region == to_region ? kZoneDelay : kRegionDelay;
}

auto StoreSpreadSimulation::RunAt(std::size_t vm, std::uint64_t life, Duration delay,
                                  std::function<void()> task) -> void {
  scheduler_.RunAfter(delay, [this, vm, life, task = std::move(task)]() mutable {
    if (vms_[vm].life != life) return;
    if (IsUp(vm)) {
      task();
    } else {
      RunAt(vm, life, kFreezeCheck, std::move(task));
    }
  });
}

auto StoreSpreadSimulation::CallStore(std::size_t vm, std::uint64_t life) -> void {
  auto& state = vms_[vm];
  const bool reads =
      state.sync_state.Next().list || state.role.ReadsStore(state.sync_state.Age(now()), now());
  if (!reads) {
    CallAgain(vm, life, kRoleCheckInterval);
    return;
  }
  ++store_calls_;
  const auto call = ++state.last_call;
  const auto called_at = now();
  const auto next = state.sync_state.Next();
  const auto interval = state.role.timing().answer_interval;
  const auto wait = std::clamp(interval - state.sync_state.Age(now()), Duration::zero(), interval);
  if (!next.list && !state.store_lost) {
    RunAt(vm, life, wait + kOverdueTime, [this, vm, life, call] {
      if (vms_[vm].last_call != call || vms_[vm].store_lost) return;
      vms_[vm].sync_state.OnOverdue();
      CallStore(vm, life);
    });
  }
  scheduler_.RunAfter(Delay(Region(vm), kStoreRegion),
                      [this, vm, life, call, next, wait, called_at] {
                        if (!vms_[vm].reach.store) {
                          RunAt(vm, life, kCallTimeout + (next.list ? Duration::zero() : wait),
                                [this, vm, life, call] { OnStoreFailure(vm, life, call); });
                        } else if (next.list) {
                          AnswerList({vm, life, call, called_at}, next.after_key);
                        } else if (next.after_revision != revision_) {
                          AnswerWatch({{vm, life, call, called_at}, next.after_revision});
                        } else {
                          const auto number = ++last_watch_;
                          watches_[number] = {{vm, life, call, called_at}, next.after_revision};
                          scheduler_.RunAfter(wait, [this, number] {
                            if (const auto watch = watches_.extract(number))
                              AnswerWatch(watch.mapped());
                          });
                        }
                      });
}

auto StoreSpreadSimulation::OnStoreFailure(std::size_t vm, std::uint64_t life, std::uint64_t call)
    -> void {
  auto& state = vms_[vm];
  const bool is_last = state.last_call == call;
  if (!is_last && (call < state.last_answered || state.sync_state.Next().list)) return;
  state.sync_state.OnFailure(absl::UnavailableError("no answer"));
  state.store_lost = true;
  if (is_last) CallAgain(vm, life, kBackoff);
}

auto StoreSpreadSimulation::CallAgain(std::size_t vm, std::uint64_t life, Duration pause) -> void {
  RunAt(vm, life, pause, [this, vm, life] { CallStore(vm, life); });
}

auto StoreSpreadSimulation::OnStoreChanged() -> void {
  for (const auto& [number, watch] : std::exchange(watches_, {})) AnswerWatch(watch);
}

auto StoreSpreadSimulation::AnswerList(const Call& call, const std::string& after_key) -> void {
  StorePage page;
  page.revision = revision_;
  page.era = era_;
  for (auto item = store_items_.upper_bound(after_key); item != store_items_.end(); ++item) {
    if (page.items.size() == kPageItems) {
      page.more = true;
      break;
    }
    page.items.push_back(item->second);
  }
  Answer(call, [this, call, page] {
    auto& state = vms_[call.vm];
    Apply(call.vm, state.sync_state.OnPage(page, now()));
    state.store_lost = false;
    if (call.number == state.last_call) CallAgain(call.vm, call.life, Duration::zero());
  });
}

auto StoreSpreadSimulation::AnswerWatch(const Watch& watch) -> void {
  const bool history_gone =
      watch.after_revision < history_start_ || watch.after_revision > revision_;
  StoreChanges changes;
  changes.revision = revision_;
  changes.era = era_;
  for (auto event = history_.upper_bound(watch.after_revision); event != history_.end(); ++event) {
    changes.changes.push_back(event->second.change);
  }
  Answer(watch.call, [this, call = watch.call, history_gone, changes] {
    auto& state = vms_[call.vm];
    const bool is_last = call.number == state.last_call;
    if (history_gone && !is_last) return;
    state.last_answered = std::max(state.last_answered, call.number);
    if (history_gone) {
      state.sync_state.OnFailure(absl::OutOfRangeError("history gone"));
      CallAgain(call.vm, call.life, Duration::zero());
      return;
    }
    const auto new_changes = state.sync_state.OnChanges(changes, now());
    Apply(call.vm, new_changes);
    state.store_lost = false;
    if (is_last) {
      CallAgain(call.vm, call.life, new_changes.empty() ? Duration::zero() : kBatchDelay);
    }
  });
}

/// Delivers an answer of the store, unless it tells that its call belongs to an era that is over.
auto StoreSpreadSimulation::Answer(const Call& call, std::function<void()> apply) -> void {
  const auto listing = vms_[call.vm].sync_state.listing_number();
  RunAt(call.vm, call.life, Delay(kStoreRegion, Region(call.vm)),
        [this, call, listing, era = era_, apply = std::move(apply)] {
          auto& sync_state = vms_[call.vm].sync_state;
          if (sync_state.OnStoreEra(era, call.made_at, now())) CallStore(call.vm, call.life);
          if (sync_state.listing_number() == listing) apply();
        });
}

auto StoreSpreadSimulation::IndexOf(const Endpoint& endpoint) const -> std::size_t {
  return ParseNumber<std::size_t>(endpoint.address.substr(kNamePrefix.size())).value_or(0);
}

auto StoreSpreadSimulation::AskPeers(std::size_t vm, std::uint64_t life) -> void {
  auto& role = vms_[vm].role;
  const auto state = vms_[vm].sync_state.Quality(now());
  if (state.age > role.timing().max_state_age) ++old_states_;
  const auto peers = role.NextQuestions(state, now());
  RunAt(vm, life, role.QuestionInterval(state, now()), [this, vm, life] { AskPeers(vm, life); });
  if (!vms_[vm].sync_state.synced()) return;
  for (const auto& peer : peers) AskPeer(vm, life, peer);
}

auto StoreSpreadSimulation::AskPeer(std::size_t vm, std::uint64_t life, const Endpoint& peer)
    -> void {
  const auto to = IndexOf(peer);
  const StorePosition after{vms_[vm].sync_state.era(), vms_[vm].sync_state.revision()};
  const auto delay = Delay(Region(vm), Region(to));
  RunAt(to, vms_[to].life, delay, [this, vm, life, to, peer, after, delay, asked_at = now()] {
    if (!vms_[vm].reach.peers || !vms_[to].reach.peers) return;
    HearEra(to, after.era);
    const auto& state = vms_[to].sync_state;
    if (!state.synced()) return;
    if (after.era != state.era() || after.revision < state.history_start()) {
      RunAt(vm, life, delay, [this, vm, era = state.era()] { HearEra(vm, era); });
      return;
    }
    auto changes = vms_[to].snapshot.ChangesAfter(after.revision);
    if (!changes.has_value()) return;
    StoreChanges answer{*std::move(changes), state.revision(), state.Age(now()),
                        state.ContactAge(now())};
    answer.era = state.era();
    RunAt(vm, life, delay, [this, vm, peer, asked_at, answer]() mutable {
      answer.age += now() - asked_at;
      vms_[vm].role.OnAnswer(peer, answer.age, now());
      answer.contact_age = std::max(answer.contact_age, answer.age);
      Apply(vm, vms_[vm].sync_state.OnPeerChanges(answer, now()));
    });
  });
}

auto StoreSpreadSimulation::HearEra(std::size_t vm, StoreEra era) -> void {
  if (vms_[vm].sync_state.OnPeerEra(era, now())) CallStore(vm, vms_[vm].life);
}

auto StoreSpreadSimulation::Apply(std::size_t vm, const std::vector<StoreChange>& changes) -> void {
  auto& state = vms_[vm];
  const bool unconfirmed = state.sync_state.RemovalsUnconfirmed();
  if (std::exchange(state.replacements, state.sync_state.replacements()) !=
      state.sync_state.replacements()) {
    state.snapshot.BeginEra();
    state.highest.clear();
  }
  for (const auto& change : changes) {
    auto& highest = state.highest[change.key];
    if (change.revision < highest) ++reversals_;
    highest = std::max(highest, change.revision);
    if (change.value.has_value()) {
      state.items[change.key] = WriteOf(change);
      state.pending_removals.Remove(TargetName(change.key));
    } else {
      state.items.erase(change.key);
      if (unconfirmed) state.pending_removals.Add(TargetName(change.key), now());
    }
    state.snapshot.Apply(change);
  }
  state.snapshot.EndOfNewState();
  state.pending_removals.Take(state.sync_state.removals_certain_until(), now());
}

auto StoreSpreadSimulation::WriteOf(const StoreChange& item) -> std::uint64_t {
  return ParseNumber<std::uint64_t>(item.value.value_or("")).value_or(0);
}

auto StoreSpreadSimulation::WriteAt(std::size_t vm, const std::string& key) const -> std::uint64_t {
  const auto found = vms_[vm].items.find(key);
  return found == vms_[vm].items.end() ? 0 : found->second;
}

auto StoreSpreadSimulation::Uses(std::size_t vm, const std::string& key) const -> bool {
  return WriteAt(vm, key) > 0 || vms_[vm].pending_removals.Contains(TargetName(key));
}

auto StoreSpreadSimulation::ItemsAt(std::size_t vm) const -> std::map<std::string, std::uint64_t> {
  return vms_[vm].items;
}

auto StoreSpreadSimulation::StoreItems() const -> std::map<std::string, std::uint64_t> {
  std::map<std::string, std::uint64_t> writes;
  for (const auto& [key, item] : store_items_) writes[key] = WriteOf(item);
  return writes;
}

}  // namespace heatherspan
