#include "experiment/harmful_request_simulation.h"

#include <algorithm>
#include <utility>

#include "gateway/peer_selection.h"
#include "gateway/store_reader_role.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Standing = CrashSuspects::Standing;

constexpr std::size_t kZones = 6;
constexpr std::size_t kRegions = 3;
constexpr Duration kQuestionInterval = StoreReaderRole::kQuestionInterval;
/// The way to a peer and back, during which further news waits.
constexpr Duration kTellInterval = milliseconds(20);
constexpr Duration kDownTime = seconds(3);
constexpr Duration kBlock = milliseconds(500);
constexpr Duration kCrashInterval = seconds(4);
constexpr Duration kSpreadBound = milliseconds(1500);
/// What is sent later is not under way when the third target ends.
constexpr Duration kUnderWay = milliseconds(300);
constexpr Duration kFlapInterval = kDownTime + seconds(1);
constexpr Duration kCallersPause = milliseconds(200);

auto ServiceOf(const TargetName& /*target*/) -> std::optional<ServiceName> {
  return ServiceName("s");
}

}  // namespace

HarmfulRequestSimulation::HarmfulRequestSimulation(const Options& options)
    : options_(options), random_(options.seed) {
  for (std::size_t i = 0; i < options_.vm_count; ++i) {
    Vm vm;
    const auto zone = i % kZones;
    vm.entry = {NodeName("vm-" + std::to_string(i)),
                ZoneName("z" + std::to_string(zone)),
                RegionName("r" + std::to_string(zone % kRegions)),
                {"10.0.0.1", static_cast<std::uint16_t>(i)},
                {"10.0.0." + std::to_string(i), 2}};
    vm.guard = std::make_unique<HarmGuard>(vm.entry.name);
    entries_.push_back(vm.entry);
    vms_.push_back(std::move(vm));
  }
  std::sort(entries_.begin(), entries_.end(),
            [](const EntryVm& a, const EntryVm& b) { return a.name < b.name; });
  for (std::size_t i = 0;
       i < std::max<std::size_t>(12, options_.vm_count * options_.targets_per_vm); ++i) {
    targets_.push_back(
        {{TargetName("i-" + std::to_string(i)), 1, {"10.1.0." + std::to_string(i), 80}}, true, {}});
  }
  for (int i = 0; i < options_.harmful_requests; ++i) {
    harms_.push_back({RequestDigest(random_(), random_()), {}, {}, false});
    NextHarmful(harms_.size() - 1);
  }
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    NextInnocent(i);
    NextQuestion(i);
  }
  if (options_.crash_share > 0) NextCrashes();
  const auto flapping = static_cast<double>(targets_.size()) * options_.flapping_share;
  for (std::size_t i = 0; static_cast<double>(i) < flapping; ++i) NextFlap(i);
}

auto HarmfulRequestSimulation::RunFor(Duration duration) -> void {
  scheduler_.RunUntil(now() + duration);
}

auto HarmfulRequestSimulation::Cut(std::size_t vm, Duration time) -> void {
  vms_[vm].searching = true;
  vms_[vm].cut_until = std::max(vms_[vm].cut_until, now() + time);
  vms_[vm].well_since = std::max(vms_[vm].well_since, now() + time);
}

auto HarmfulRequestSimulation::Freeze(std::size_t vm, Duration time) -> void {
  vms_[vm].searching = true;
  vms_[vm].back_at = std::max(vms_[vm].back_at, now() + time);
  vms_[vm].well_since = std::max(vms_[vm].well_since, now() + time);
}

auto HarmfulRequestSimulation::Restart(std::size_t vm, Duration down) -> void {
  Freeze(vm, down);
  auto& state = vms_[vm];
  ++state.start;
  state.guard = std::make_unique<HarmGuard>(state.entry.name);
  state.in_flight.clear();
  state.reserved.clear();
  state.blocked.clear();
  state.searching = true;
}

auto HarmfulRequestSimulation::Draw(double from, double to) -> double {
  return std::uniform_real_distribution<double>(from, to)(random_);
}

auto HarmfulRequestSimulation::Delay() -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(random_() % 3 == 0 ? 35.0 : Draw(0.5, 2)));
}

auto HarmfulRequestSimulation::NextInnocent(std::size_t vm) -> void {
  const std::chrono::duration<double> gap(Draw(0, 2) / options_.requests_per_vm);
  scheduler_.RunAfter(std::chrono::duration_cast<Duration>(gap), [this, vm] {
    NextInnocent(vm);
    ++outcome_.innocent_sent;
    const Request request{RequestDigest(random_(), random_()), std::nullopt, 0};
    Send(vm, request);
    for (int i = 1; i < options_.copies; ++i) Send(random_() % vms_.size(), request);
  });
}

auto HarmfulRequestSimulation::NextHarmful(std::size_t number) -> void {
  const std::chrono::duration<double> gap(Draw(0, 2) / options_.harmful_per_second);
  scheduler_.RunAfter(std::chrono::duration_cast<Duration>(gap), [this, number] {
    NextHarmful(number);
    Send(random_() % vms_.size(), {harms_[number].digest, number, 0});
  });
}

auto HarmfulRequestSimulation::NextQuestion(std::size_t vm) -> void {
  const auto interval = vms_[vm].searching ? StoreReaderRole::kSearchInterval : kQuestionInterval;
  scheduler_.RunAfter(interval, [this, vm] {
    NextQuestion(vm);
    auto& state = vms_[vm];
    if (now() < state.back_at) return;
    if (state.searching) {
      for (std::size_t i = 0; i < StoreReaderRole::kSearchWidth; ++i) {
        Exchange(vm, random_() % vms_.size());
      }
      return;
    }
    const auto& entry = state.entry;
    const auto peers = SelectPeers(entries_, entry.name, entry.zone, entry.region);
    const auto& asked = peers.is_reader ? peers.others : peers.zone_readers;
    if (asked.empty()) return;
    const auto& peer = asked[state.next_peer++ % asked.size()];
    const auto entry_vm = std::find_if(entries_.begin(), entries_.end(),
                                       [&](const EntryVm& e) { return e.peer_endpoint == peer; });
    Exchange(vm, IndexOf(*entry_vm));
  });
}

auto HarmfulRequestSimulation::NextCrashes() -> void {
  scheduler_.RunAfter(kCrashInterval, [this] {
    NextCrashes();
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      if (Draw(0, 1) < options_.crash_share) Crash(i);
    }
  });
}

auto HarmfulRequestSimulation::NextFlap(std::size_t target) -> void {
  scheduler_.RunAfter(kFlapInterval, [this, target] {
    NextFlap(target);
    Crash(target);
  });
}

auto HarmfulRequestSimulation::ChooseTarget(const Vm& vm, Apartness apartness)
    -> std::optional<std::size_t> {
  const auto first = random_() % targets_.size();
  for (const bool strict : {true, false}) {
    if (!strict && apartness == Apartness::kRequired) break;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const auto target = (first + i) % targets_.size();
      const auto blocked = vm.blocked.find(target);
      if (blocked != vm.blocked.end() && now() < blocked->second) continue;
      const auto reserved = vm.reserved.find(target);
      if (reserved != vm.reserved.end() && (reserved->second == Apartness::kRequired ||
                                            (strict && apartness == Apartness::kPreferred))) {
        continue;
      }
      if (apartness == Apartness::kRequired && vm.in_flight.contains(target)) continue;
      return target;
    }
  }
  return std::nullopt;
}

auto HarmfulRequestSimulation::Send(std::size_t vm, Request request) -> void {
  auto& state = vms_[vm];
  if (now() < state.back_at) return;
  if (request.attempts == options_.max_attempts) {
    OnUnanswered(vm, request);
    return;
  }
  auto apartness = Apartness::kNone;
  if (options_.guarded) {
    switch (state.guard->Rule(request.digest, entries_, now())) {
      case HarmGuard::Ruling::kSend:
        break;
      case HarmGuard::Ruling::kSendApart:
        apartness = Apartness::kPreferred;
        break;
      case HarmGuard::Ruling::kSendOnlyApart:
        apartness = Apartness::kRequired;
        break;
      case HarmGuard::Ruling::kWait:
        OnUnanswered(vm, request);
        return;
      case HarmGuard::Ruling::kRefuse:
        if (!request.harmful.has_value()) ++outcome_.innocent_refused;
        request.callers_retries = options_.callers_retries;
        OnUnanswered(vm, request);
        return;
    }
  }
  const auto target = ChooseTarget(state, apartness);
  if (!target.has_value()) {
    OnUnanswered(vm, request);
    return;
  }
  if (request.harmful.has_value()) {
    const auto& harm = harms_[*request.harmful];
    if (now() - kSpreadBound > ThirdCrashKnownAt(harm, vm)) {
      ++(IsWell(state) ? outcome_.sent_late : outcome_.sent_late_alone);
    }
    if (harm.crashes.size() >= 3 && now() > harm.third_crash_at + kUnderWay) {
      ++outcome_.sent_after_news;
    }
  }
  ++request.attempts;
  ++state.in_flight[*target];
  if (apartness != Apartness::kNone) state.reserved[*target] = apartness;
  state.guard->OnSent(request.digest);
  const Run run{vm, state.start, request, now(), ++last_run_};
  scheduler_.RunAfter(Delay(), [this, target = *target, run] { OnArrival(target, run); });
}

auto HarmfulRequestSimulation::OnArrival(std::size_t target, const Run& run) -> void {
  auto& state = targets_[target];
  if (!state.up) {
    scheduler_.RunAfter(Delay(), [this, target, run] { OnRefused(target, run); });
    return;
  }
  state.runs.push_back(run);
  const auto start = state.start.start_id;
  const std::chrono::duration<double, std::milli> work(run.request.harmful ? Draw(1, 80)
                                                                           : Draw(60, 600));
  scheduler_.RunAfter(std::chrono::duration_cast<Duration>(work), [this, target, run, start] {
    auto& runs = targets_[target].runs;
    const auto found = std::find_if(runs.begin(), runs.end(),
                                    [&](const Run& r) { return r.number == run.number; });
    if (targets_[target].start.start_id != start || found == runs.end()) return;
    if (!run.request.harmful.has_value()) {
      runs.erase(found);
      scheduler_.RunAfter(Delay(), [this, target, run] { OnServed(target, run); });
      return;
    }
    ++outcome_.targets_ended;
    auto& harm = harms_[*run.request.harmful];
    harm.crashes.push_back({run.vm, now(), std::max(now(), vms_[run.vm].well_since)});
    if (harm.crashes.size() == 3) harm.third_crash_at = now();
    Crash(target);
  });
}

auto HarmfulRequestSimulation::OnAttemptOver(std::size_t target, const Run& run) -> Vm* {
  auto& vm = vms_[run.vm];
  if (vm.start != run.vm_start) return nullptr;
  if (--vm.in_flight[target] == 0) {
    vm.in_flight.erase(target);
    vm.reserved.erase(target);
  }
  vm.guard->OnAttemptOver(run.request.digest);
  return &vm;
}

auto HarmfulRequestSimulation::OnServed(std::size_t target, const Run& run) -> void {
  auto* vm = OnAttemptOver(target, run);
  if (vm == nullptr) return;
  ++outcome_.innocent_served;
  vm->guard->OnTargetAnswered(targets_[target].start.target, run.sent_at);
  // An idle guard is asked for nothing, which saves the digest.
  if (!vm->guard->IsIdle()) vm->guard->OnRequestAnswered(run.request.digest, now());
  Publish(run.vm);
}

auto HarmfulRequestSimulation::Crash(std::size_t target) -> void {
  auto& state = targets_[target];
  if (!state.up) return;
  state.up = false;
  for (const auto& run : std::exchange(state.runs, {})) {
    scheduler_.RunAfter(Delay(),
                        [this, target, start = state.start, run] { OnLost(target, start, run); });
  }
  scheduler_.RunAfter(kDownTime, [this, target] {
    targets_[target].up = true;
    ++targets_[target].start.start_id;
  });
}

auto HarmfulRequestSimulation::OnLost(std::size_t target, const TargetCrash& start, const Run& run)
    -> void {
  auto* vm = OnAttemptOver(target, run);
  if (vm == nullptr) return;
  vm->guard->OnLost({run.request.digest, start, ServiceName("s"), now() - run.sent_at, now(),
                     options_.idempotent});
  // The VM asks the target for its health.
  scheduler_.RunAfter(Delay() * 2, [this, target, start, vm = run.vm, vm_start = run.vm_start] {
    auto& state = vms_[vm];
    if (state.start != vm_start || targets_[target].up) return;
    state.guard->OnRefused(start.target, targets_.size(), now());
    state.guard->OnDown(ServiceName("s"), start, targets_.size(), now());
    state.blocked[target] = now() + kBlock;
    Publish(vm);
  });
  if (options_.idempotent) Send(run.vm, run.request);
}

auto HarmfulRequestSimulation::OnUnanswered(std::size_t vm, const Request& request) -> void {
  vms_[vm].guard->OnRequestUnanswered(request.digest, now());
  Publish(vm);
  if (request.harmful.has_value() || request.callers_retries == options_.callers_retries) return;
  auto again = request;
  again.attempts = 0;
  ++again.callers_retries;
  scheduler_.RunAfter(kCallersPause, [this, again] { Send(random_() % vms_.size(), again); });
}

auto HarmfulRequestSimulation::OnRefused(std::size_t target, const Run& run) -> void {
  auto* vm = OnAttemptOver(target, run);
  if (vm == nullptr) return;
  vm->blocked[target] = now() + kBlock;
  vm->guard->OnRefused(targets_[target].start.target, targets_.size(), now());
  vm->guard->OnDown(ServiceName("s"), targets_[target].start, targets_.size(), now());
  Publish(run.vm);
  Send(run.vm, run.request);
}

auto HarmfulRequestSimulation::Exchange(std::size_t from, std::size_t to) -> void {
  if (from == to || !IsWell(vms_[from]) || !IsWell(vms_[to])) return;
  scheduler_.RunAfter(Delay(), [this, from, to, told = vms_[from].guard->Reports(now())] {
    if (!IsWell(vms_[to])) return;
    vms_[to].guard->OnReports(told, ServiceOf, now());
    const auto answer = vms_[to].guard->Reports(now());
    Publish(to);
    scheduler_.RunAfter(Delay(), [this, from, answer] {
      if (!IsWell(vms_[from])) return;
      vms_[from].guard->OnReports(answer, ServiceOf, now());
      vms_[from].searching = false;
      Publish(from);
    });
  });
}

auto HarmfulRequestSimulation::Publish(std::size_t vm) -> void {
  auto& guard = *vms_[vm].guard;
  for (const auto& change : guard.TakeChanges()) {
    if (change.standing != Standing::kCondemned || IsHarmful(change.request)) continue;
    // A VM alone can't know what has ended the targets on the other side of the cut.
    if (!IsWell(vms_[vm])) continue;
    ++outcome_.innocent_condemned;
    scheduler_.RunAfter(kSpreadBound, [this, vm, request = change.request] {
      const auto standing = vms_[vm].guard->suspects().StandingOf(request, now());
      if (standing >= Standing::kCondemned) ++outcome_.innocent_held;
    });
  }
  CheckSpread();
  for (const auto& recipient : guard.TakeRecipients(entries_)) Tell(vm, IndexOf(recipient));
}

auto HarmfulRequestSimulation::IndexOf(const EntryVm& entry) const -> std::size_t {
  return entry.caller_endpoint.port;
}

auto HarmfulRequestSimulation::Tell(std::size_t from, std::size_t to) -> void {
  // A peer that has not answered the last question is told once more when it has.
  if (!vms_[from].telling.insert(to).second) return;
  scheduler_.RunAfter(kTellInterval, [this, from, to] {
    vms_[from].telling.erase(to);
    Exchange(from, to);
  });
}

auto HarmfulRequestSimulation::ThirdCrashKnownAt(const Harm& harm, std::size_t vm) const
    -> MonotonicTime {
  std::vector<MonotonicTime> known;
  known.reserve(harm.crashes.size());
  for (const auto& crash : harm.crashes) {
    known.push_back(crash.vm == vm ? crash.at : std::max(crash.told_at, vms_[vm].well_since));
  }
  if (known.size() < 3) return MonotonicTime::max();
  std::nth_element(known.begin(), known.begin() + 2, known.end());
  return known[2];
}

auto HarmfulRequestSimulation::IsHarmful(const RequestDigest& request) const -> bool {
  return std::any_of(harms_.begin(), harms_.end(),
                     [&](const Harm& harm) { return harm.digest == request; });
}

auto HarmfulRequestSimulation::InnocentHeldCondemned() const -> int {
  int count = 0;
  for (const auto& vm : vms_) {
    for (const auto& entry : vm.guard->suspects().Entries(now())) {
      if (entry.standing >= Standing::kCondemned && !IsHarmful(entry.request)) ++count;
    }
  }
  return count;
}

auto HarmfulRequestSimulation::CheckSpread() -> void {
  for (auto& harm : harms_) {
    if (harm.crashes.size() < 3 || harm.spread) continue;
    const bool everywhere = std::all_of(vms_.begin(), vms_.end(), [&](const Vm& vm) {
      return vm.well_since > harm.third_crash_at ||
             vm.guard->suspects().StandingOf(harm.digest, now()) >= Standing::kCondemned;
    });
    if (!everywhere) continue;
    harm.spread = true;
    outcome_.slowest_spread = std::max(outcome_.slowest_spread, now() - harm.third_crash_at);
  }
}

}  // namespace heatherspan
