#include "experiment/store_spread_simulation.h"

#include <algorithm>
#include <iterator>
#include <ostream>
#include <string_view>
#include <utility>

#include "base/number_text.h"
#include "edge/edge_limits.h"
#include "experiment/simulated_follower.h"
#include "gateway/entry_vm_directory.h"
#include "gateway/peer_state_need.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr Duration kZoneDelay = std::chrono::microseconds(500);
constexpr Duration kRegionDelay = milliseconds(35);
/// The store stands in this region.
constexpr std::size_t kStoreRegion = 0;
/// The gateway's timeout of a call.
constexpr Duration kCallTimeout = milliseconds(2000);
/// How often the gateway looks whether it needs the state of a peer.
constexpr Duration kPeerStateCheck = milliseconds(200);
/// A frozen VM looks again after this time.
constexpr Duration kFreezeCheck = milliseconds(50);
/// Items of one page. Small, so that listings have several pages.
constexpr std::size_t kPageItems = 7;
constexpr std::string_view kNamePrefix = "vm-";

auto NumberOf(const StoreChange& item) -> std::uint64_t {
  return ParseNumber<std::uint64_t>(item.value.value_or("")).value_or(0);
}

/// Takes what nobody reads.
auto NullStream() -> std::ostream& {
  static std::ostream stream(nullptr);
  return stream;
}

}  // namespace

StoreSpreadSimulation::StoreSpreadSimulation(const Options& options)
    : options_(options),
      random_(options.seed),
      scheduler_(MonotonicTime(std::chrono::hours(1))),
      log_(LogLevel::kError, NullStream()),
      vms_(options.vm_count) {
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    vms_[vm].budget = AnswerBudget(LinkRate(vm));
    Restart(vm);
  }
}

StoreSpreadSimulation::~StoreSpreadSimulation() = default;

auto StoreSpreadSimulation::Name(std::size_t vm) const -> std::string {
  return std::string(kNamePrefix) + std::to_string(vm);
}

auto StoreSpreadSimulation::Put(const std::string& key, std::size_t bytes) -> void {
  Write({key, std::to_string(++last_write_), 0}, bytes);
}

auto StoreSpreadSimulation::Remove(const std::string& key) -> void {
  if (store_items_.contains(key)) Write({key, std::nullopt, 0}, 0);
}

auto StoreSpreadSimulation::Write(StoreChange change, std::size_t bytes) -> void {
  change.revision = ++revision_;
  if (change.value.has_value()) {
    store_items_[change.key] = change;
  } else {
    store_items_.erase(change.key);
  }
  history_[revision_] = {std::move(change), now(), bytes};
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
  auto& process = vms_[vm].process;
  vms_[vm].asked.clear();
  vms_[vm].turn = {};
  process = std::make_shared<SimulatedFollower>(
      *this, vm, log_, [this] { return now(); }, StoreReadTiming::For(options_.change_bound));
  if (options_.peers_ask) process->follower().role().SetPeers(SelectPeersOf(vm));
  process->Start();
  if (options_.peers_ask) RunAt(vm, process, kPeerStateCheck, [this, vm] { ReadPeerState(vm); });
  const auto first_questions = Duration(std::uniform_int_distribution<Duration::rep>(
      0, StoreReaderRole::kQuestionInterval.count())(random_));
  if (options_.peers_ask) RunAt(vm, process, first_questions, [this, vm] { AskPeers(vm); });
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

auto StoreSpreadSimulation::RunAt(std::size_t vm, std::weak_ptr<SimulatedFollower> process,
                                  Duration delay, std::function<void()> task) -> void {
  scheduler_.RunAfter(delay,
                      [this, vm, process = std::move(process), task = std::move(task)]() mutable {
                        const auto running = process.lock();
                        if (running == nullptr) return;
                        if (vms_[vm].reach.frozen) {
                          RunAt(vm, std::move(process), kFreezeCheck, std::move(task));
                        } else {
                          task();
                        }
                      });
}

auto StoreSpreadSimulation::FailCall(const Call& call, std::function<void()> fail) -> bool {
  const auto& reach = vms_[call.vm].reach;
  if (!reach.store) {
    RunAt(call.vm, call.process, call.deadline - now(), std::move(fail));
  } else if (reach.refusal == Refusal::kBusy) {
    Answer(call, std::move(fail));
  } else if (reach.refusal == Refusal::kReset) {
    RunAt(call.vm, call.process, Delay(kStoreRegion, Region(call.vm)), std::move(fail));
  } else {
    return false;
  }
  return true;
}

auto StoreSpreadSimulation::List(std::size_t vm, const std::string& after_key, OnPage on_page)
    -> void {
  ++store_calls_;
  scheduler_.RunAfter(Delay(Region(vm), kStoreRegion),
                      [this, call = Call{vm, vms_[vm].process, now(), now() + kCallTimeout},
                       after_key, on_page = std::move(on_page)] {
                        const auto fail = [on_page] {
                          on_page(absl::UnavailableError("no answer"));
                        };
                        if (FailCall(call, fail)) return;
                        auto page = PageAfter(after_key);
                        const auto bytes = SizeOf(page.items);
                        Transfer(call, bytes, on_page, std::move(page));
                      });
}

auto StoreSpreadSimulation::WatchStore(std::size_t vm, std::uint64_t after, Duration wait,
                                       OnChanges on_changes) -> void {
  ++store_calls_;
  scheduler_.RunAfter(Delay(Region(vm), kStoreRegion),
                      [this,
                       watch = Watch{{vm, vms_[vm].process, now(), now() + wait + kCallTimeout},
                                     after,
                                     std::move(on_changes)},
                       wait] {
                        const auto fail = [on_changes = watch.on_changes] {
                          on_changes(absl::UnavailableError("no answer"));
                        };
                        if (FailCall(watch.call, fail)) return;
                        if (watch.after_revision != revision_) {
                          AnswerWatch(watch);
                          return;
                        }
                        const auto number = ++last_watch_;
                        watches_[number] = watch;
                        scheduler_.RunAfter(wait, [this, number] {
                          if (const auto waiting = watches_.extract(number))
                            AnswerWatch(waiting.mapped());
                        });
                      });
}

auto StoreSpreadSimulation::OnStoreChanged() -> void {
  for (const auto& [number, watch] : std::exchange(watches_, {})) AnswerWatch(watch);
}

auto StoreSpreadSimulation::PageAfter(const std::string& key) const -> StorePage {
  StorePage page;
  page.revision = revision_;
  page.era = era_;
  for (auto item = store_items_.upper_bound(key); item != store_items_.end(); ++item) {
    if (page.items.size() == kPageItems) {
      page.more = true;
      break;
    }
    page.items.push_back(item->second);
  }
  return page;
}

auto StoreSpreadSimulation::AnswerWatch(const Watch& watch) -> void {
  if (watch.after_revision < history_start_ || watch.after_revision > revision_) {
    Answer(watch.call,
           [on_changes = watch.on_changes] { on_changes(absl::OutOfRangeError("history gone")); });
    return;
  }
  StoreChanges changes;
  changes.revision = revision_;
  changes.era = era_;
  for (auto event = history_.upper_bound(watch.after_revision); event != history_.end(); ++event) {
    changes.changes.push_back(event->second.change);
  }
  const auto bytes = SizeOf(changes.changes);
  if (bytes > EdgeLimits::kMaxChangesBytes) {
    Answer(watch.call, [on_changes = watch.on_changes] {
      on_changes(absl::ResourceExhaustedError("the answer is too large"));
    });
    return;
  }
  Transfer(watch.call, bytes, watch.on_changes, std::move(changes));
}

template <class Changes>
auto StoreSpreadSimulation::SizeOf(const Changes& changes) const -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& change : changes) bytes += history_.at(change.revision).bytes;
  return bytes;
}

template <class Callback, class Result>
auto StoreSpreadSimulation::Transfer(const Call& call, std::size_t bytes, Callback callback,
                                     Result result) -> void {
  auto transfer_time = Duration::zero();
  if (bytes > 0 && options_.link_bytes_per_second > 0) {
    auto& busy_until = vms_[call.vm].link_busy_until;
    const auto begin = std::max(busy_until, now());
    const auto end = begin + LinkTime(call.vm, bytes);
    busy_until = std::min(end, std::max(begin, call.deadline));
    if (end > call.deadline) {
      RunAt(call.vm, call.process, call.deadline - now(), [callback, began = busy_until > begin] {
        callback(began ? absl::DeadlineExceededError("the answer takes too long")
                       : absl::UnavailableError("no answer"));
      });
      return;
    }
    transfer_time = end - now();
  }
  Answer(
      call, [callback, result = std::move(result)] { callback(result); }, transfer_time);
}

auto StoreSpreadSimulation::Answer(const Call& call, std::function<void()> apply,
                                   Duration transfer_time) -> void {
  RunAt(call.vm, call.process, transfer_time + Delay(kStoreRegion, Region(call.vm)),
        [this, call, era = era_, apply = std::move(apply)] {
          vms_[call.vm].process->follower().OnStoreEra(era, call.made_at);
          apply();
        });
}

auto StoreSpreadSimulation::IndexOf(const Endpoint& endpoint) const -> std::size_t {
  return ParseNumber<std::size_t>(endpoint.address.substr(kNamePrefix.size())).value_or(0);
}

auto StoreSpreadSimulation::ReadPeerState(std::size_t vm) -> void {
  const auto process = vms_[vm].process;
  RunAt(vm, process, kPeerStateCheck, [this, vm] { ReadPeerState(vm); });
  if (PeerStateNeedOf(process->state(), process->running()) != PeerStateNeed::kNow) return;
  const auto to = random_() % vms_.size();
  if (to == vm) return;
  const auto delay = Delay(Region(vm), Region(to));
  RunAt(to, vms_[to].process, delay, [this, vm, to, delay, asking = std::weak_ptr(process)] {
    const auto& state = vms_[to].process->state();
    if (!vms_[vm].reach.peers || !vms_[to].reach.peers || !state.synced()) return;
    auto page = vms_[to].process->snapshot().Page(state.revision());
    page.era = state.era();
    RunAt(vm, asking, delay, [this, vm, page = std::move(page)] {
      vms_[vm].process->follower().ApplyPeerState(page);
    });
  });
}

auto StoreSpreadSimulation::AskPeers(std::size_t vm) -> void {
  auto& process = *vms_[vm].process;
  auto& role = process.follower().role();
  const auto state = process.state().Quality(now());
  if (state.age > role.timing().max_state_age) ++old_states_;
  const auto peers = role.NextQuestions(state, now());
  RunAt(vm, vms_[vm].process, role.QuestionInterval(state, now()), [this, vm] { AskPeers(vm); });
  if (!process.state().synced()) return;
  for (const auto& peer : peers) AskPeer(vm, peer, false);
}

auto StoreSpreadSimulation::LinkRate(std::size_t vm) const -> double {
  constexpr double kFastFactor = 20;
  return static_cast<double>(options_.link_bytes_per_second) *
         (vm < options_.fast_vms ? kFastFactor : 1);
}

auto StoreSpreadSimulation::LinkTime(std::size_t vm, std::size_t bytes) const -> Duration {
  const double rate = LinkRate(vm);
  return rate > 0 ? std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(static_cast<double>(bytes) / rate))
                  : Duration::zero();
}

auto StoreSpreadSimulation::PeerTransferTime(std::size_t from, std::size_t to, std::size_t bytes,
                                             MonotonicTime deadline) -> std::optional<Duration> {
  if (bytes == 0) return Duration::zero();
  const auto take = [&](MonotonicTime& busy_until, MonotonicTime ready, std::size_t vm,
                        std::size_t& taken) {
    const auto begin = std::max(busy_until, ready);
    const auto end = begin + LinkTime(vm, bytes);
    // Once the VM that has asked gives up, the connection is closed.
    if (begin < deadline) {
      busy_until = std::min(end, deadline);
      taken += bytes;
    }
    return end;
  };
  auto& sender = vms_[from];
  auto& receiver = vms_[to];
  const auto sent = take(sender.link_out_busy_until, now(), from, sender.peer_bytes_out);
  // The receiver's link carries the first bytes as they are sent.
  const auto received = take(receiver.link_busy_until, std::max(now(), sent - LinkTime(to, bytes)),
                             to, receiver.peer_bytes_in);
  const auto end = std::max(sent, received);
  return end > deadline ? std::nullopt : std::optional(end - now());
}

auto StoreSpreadSimulation::AskPeer(std::size_t vm, const Endpoint& peer, bool is_large) -> void {
  const auto to = IndexOf(peer);
  if (!vms_[vm].asked.try_emplace(to, now()).second) return;
  const auto process = vms_[vm].process;
  const StorePosition after{process->state().era(), process->state().revision()};
  const auto delay = Delay(Region(vm), Region(to));
  const auto timeout = is_large ? LargeAnswerTurn::kTimeout : kCallTimeout;
  const auto deadline = now() + timeout;
  const auto end_question = [this, vm, to, is_large, asked_at = now()] {
    auto& asked = vms_[vm].asked;
    const auto question = asked.find(to);
    if (question == asked.end() || question->second != asked_at) return;
    asked.erase(question);
    if (is_large) vms_[vm].turn.End(Name(to));
  };
  RunAt(vm, process, timeout, end_question);
  const auto ask = [this, vm, to, peer, is_large, deadline, end_question, after, delay,
                    asked_at = now(), asking = std::weak_ptr(process)] {
    if (!vms_[vm].reach.peers || !vms_[to].reach.peers) return;
    vms_[to].process->follower().OnPeerEra(after.era);
    const auto& state = vms_[to].process->state();
    if (!state.synced()) return;
    if (after.era != state.era() || after.revision < state.history_start()) {
      RunAt(vm, asking, delay, [this, vm, end_question, era = state.era()] {
        end_question();
        vms_[vm].process->follower().OnPeerEra(era);
      });
      return;
    }
    auto changes = vms_[to].process->snapshot().ChangesAfter(after.revision);
    if (!changes.has_value()) return;
    StoreChanges answer{*std::move(changes), state.revision(), state.Age(now()),
                        state.ContactAge(now())};
    answer.era = state.era();
    const auto bytes = options_.link_bytes_per_second == 0
                           ? 0
                           : static_cast<std::size_t>(static_cast<double>(SizeOf(answer.changes)) *
                                                      options_.packed_fraction);
    auto& budget = vms_[to].budget;
    if (bytes > LargeAnswerTurn::kSmallBytes && (!is_large || !budget.MayGive(now()))) {
      RunAt(vm, asking, delay, [this, vm, peer, is_large, end_question] {
        end_question();
        if (is_large || !vms_[vm].turn.IsFree(now(), IsReceiving(vm))) return;
        vms_[vm].turn.Begin(peer.address, now());
        AskPeer(vm, peer, true);
      });
      return;
    }
    if (bytes > LargeAnswerTurn::kSmallBytes) budget.OnGiven(bytes, now());
    const auto transfer_time = PeerTransferTime(to, vm, bytes, deadline);
    if (!transfer_time.has_value()) return;
    RunAt(vm, asking, delay + *transfer_time,
          [this, vm, peer, asked_at, answer, end_question]() mutable {
            end_question();
            auto& follower = vms_[vm].process->follower();
            answer.age += now() - asked_at;
            follower.role().OnAnswer(peer, answer.age, now());
            answer.contact_age = std::max(answer.contact_age, answer.age);
            follower.ApplyPeerChanges(std::move(answer));
          });
  };
  RunAt(to, vms_[to].process, delay, ask);
}

auto StoreSpreadSimulation::WriteAt(std::size_t vm, const std::string& key) const -> std::uint64_t {
  const auto& items = vms_[vm].process->items();
  const auto found = items.find(key);
  return found == items.end() ? 0 : found->second;
}

auto StoreSpreadSimulation::Uses(std::size_t vm, const std::string& key) const -> bool {
  return WriteAt(vm, key) > 0 || vms_[vm].process->IsRemovalPending(key);
}

auto StoreSpreadSimulation::ItemsAt(std::size_t vm) const -> std::map<std::string, std::uint64_t> {
  return vms_[vm].process->items();
}

auto StoreSpreadSimulation::StoreItems() const -> std::map<std::string, std::uint64_t> {
  std::map<std::string, std::uint64_t> writes;
  for (const auto& [key, item] : store_items_) writes[key] = NumberOf(item);
  return writes;
}

}  // namespace heatherspan
