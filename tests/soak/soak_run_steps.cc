#include <signal.h>

#include <iterator>

#include "platform/names.h"
#include "soak/soak_figures.h"
#include "soak/soak_run.h"

// What each step of a plan does to the gateways, the store and the targets.
namespace heatherspan {
namespace {

namespace names = platform_names;

auto Now() -> MonotonicTime { return SystemClock().Now(); }

/// What a target in need takes, in requests per second. Its usual rate is several times higher.
constexpr double kLimitPerSecond = 2;
/// One in so many targets sends stray bytes at a time.
constexpr int kStrayStride = 3;

}  // namespace

auto SoakRun::Do(const SoakStep& step) -> void {
  Log(StepText(step));
  switch (step.action) {
    case SoakAction::kPolicy:
      PutPolicy();
      break;
    case SoakAction::kPolicyGrows:
      GrowPolicy(step);
      break;
    case SoakAction::kNewsCut:
      CutNews(step);
      break;
    case SoakAction::kEvacuate: {
      const auto zone = options_.shape->zones[step.party];
      const auto key = std::string(names::kEvacuationPrefix) + zone;
      if (store_.Has(key)) break;
      ledger_.With([&](PromiseLedger& ledger) { ledger.OnEvacuated(zone, true, Now()); });
      store_.Put(key, "{}");
      After(step.length, [this, zone, key] {
        ledger_.With([&](PromiseLedger& ledger) { ledger.OnEvacuated(zone, false, Now()); });
        store_.Remove(key);
      });
      break;
    }
    case SoakAction::kStoreRestored:
      store_.Save();
      After(step.length, [this] {
        Trouble(TroubleLog::kStore, Kind::kUnplanned, Duration::zero());
        // The entry VMs announce themselves again.
        store_.Restore(
            [](const std::string& key) { return !key.starts_with(names::kEntryVmPrefix); });
      });
      break;
    case SoakAction::kStranded:
      Strand(step);
      break;
    case SoakAction::kHarmfulRequests:
      caller_workers_.Post([this] { ++world_.harmful; });
      After(step.length, [this] { caller_workers_.Post([this] { --world_.harmful; }); });
      break;
    case SoakAction::kBurst:
      caller_workers_.Post([this] { world_.burst = true; });
      After(step.length, [this] { caller_workers_.Post([this] { world_.burst = false; }); });
      break;
    case SoakAction::kKillAll:
      for (auto& gateway : gateways_) Kill(gateway, step.length);
      break;
    default:
      if (step.action <= SoakAction::kCallersReset) {
        DoGateway(step);
      } else if (step.action <= SoakAction::kStoreForgets) {
        DoStore(step);
      } else {
        DoTarget(step);
      }
  }
}

auto SoakRun::DoGateway(const SoakStep& step) -> void {
  auto& gateway = gateways_[step.party];
  switch (step.action) {
    case SoakAction::kStop:
      Stop(gateway, step.length);
      break;
    case SoakAction::kKill:
      Kill(gateway, step.length);
      break;
    case SoakAction::kPause:
      Trouble(gateway.name, Kind::kUnplanned, step.length);
      gateway.process->Signal(SIGSTOP);
      After(step.length, [&gateway] { gateway.process->Signal(SIGCONT); });
      break;
    case SoakAction::kReload:
      ++gateway.log_lines;
      WriteSettings(gateway);
      gateway.process->Signal(SIGHUP);
      break;
    case SoakAction::kCallersCut:
      Trouble(gateway.name, Kind::kUnplanned, step.length);
      gateway.callers_now.forward_to_client = false;
      gateway.callers->SetBehaviour(gateway.callers_now);
      After(step.length, [&gateway] {
        gateway.callers_now.forward_to_client = true;
        gateway.callers->SetBehaviour(gateway.callers_now);
      });
      break;
    default:
      Trouble(gateway.name, Kind::kUnplanned, Duration::zero());
      gateway.callers->ResetConnections();
  }
}

auto SoakRun::DoStore(const SoakStep& step) -> void {
  auto& gateway = gateways_[step.party];
  const auto change = [&gateway](const std::function<void(FaultProxy::Behaviour&)>& apply) {
    apply(gateway.store_now);
    gateway.store->SetBehaviour(gateway.store_now);
  };
  switch (step.action) {
    case SoakAction::kStoreDown:
      Trouble(TroubleLog::kStore, Kind::kUnplanned, step.length);
      if (stores_down_++ == 0) store_.SetDown(true);
      After(step.length, [this] {
        if (--stores_down_ == 0) store_.SetDown(false);
      });
      break;
    case SoakAction::kStoreCut:
      Trouble(gateway.name, Kind::kUnplanned, step.length);
      change([](auto& now) { now.forward_to_server = now.forward_to_client = false; });
      After(step.length, [change] {
        change([](auto& now) { now.forward_to_server = now.forward_to_client = true; });
      });
      break;
    case SoakAction::kStoreLosesAnswers:
      Trouble(gateway.name, Kind::kUnplanned, step.length);
      change([](auto& now) { now.forward_to_client = false; });
      After(step.length, [change, &gateway] {
        // A connection on which an answer was lost carries nothing more.
        gateway.store->ResetConnections();
        change([](auto& now) { now.forward_to_client = true; });
      });
      break;
    case SoakAction::kStoreSlow:
      Trouble(TroubleLog::kStore, Kind::kUnplanned, step.length);
      for (auto& other : gateways_) {
        other.store_now.delay = kSlowLink;
        other.store->SetBehaviour(other.store_now);
      }
      After(step.length, [this] {
        for (auto& other : gateways_) {
          other.store_now.delay = Duration::zero();
          other.store->SetBehaviour(other.store_now);
        }
      });
      break;
    case SoakAction::kStoreReset:
      Trouble(gateway.name, Kind::kUnplanned, Duration::zero());
      gateway.store->ResetConnections();
      break;
    case SoakAction::kStoreSilence:
      Trouble(gateway.name, Kind::kUnplanned, kSilenceTime);
      gateway.store->SilenceConnections();
      break;
    default:
      store_.DiscardHistory();
  }
}

auto SoakRun::CutNews(const SoakStep& step) -> void {
  auto& gateway = gateways_[step.party];
  const auto set = [this, &gateway, party = step.party](bool is_cut) {
    gateway.store_now.forward_to_server = gateway.store_now.forward_to_client = !is_cut;
    gateway.store->SetBehaviour(gateway.store_now);
    gateway.peers_now.forward_to_server = gateway.peers_now.forward_to_client = !is_cut;
    gateway.peers->SetBehaviour(gateway.peers_now);
    for (auto& other : gateways_) {
      other.peers->SetCut(party, is_cut ? FaultProxy::Cut::kHang : FaultProxy::Cut::kNone);
    }
  };
  Trouble(gateway.name, Kind::kUnplanned, step.length);
  if (gateway.news_cuts++ == 0) set(true);
  PutPolicy();
  After(step.length, [set, &gateway] {
    if (--gateway.news_cuts == 0) set(false);
  });
}

auto SoakRun::BoundLinks() -> void {
  std::set<int> numbers;
  for (const auto& [number, growths] : bounded_) numbers.insert(number);
  for (int i = 0; i < options_.size.gateways; ++i) {
    auto& gateway = gateways_[i];
    const bool is_bounded = bounded_.contains(i);
    gateway.store_now.bytes_per_second = is_bounded ? kBoundedLinkRate : 0;
    gateway.store->SetBehaviour(gateway.store_now);
    gateway.peers_now.bytes_per_second = bounded_.empty() ? 0 : kBoundedLinkRate;
    gateway.peers_now.bounded_parties = is_bounded ? std::set<int>() : numbers;
    gateway.peers->SetBehaviour(gateway.peers_now);
  }
}

auto SoakRun::GrowPolicy(const SoakStep& step) -> void {
  for (int i = step.party % 2; i < options_.size.gateways; i += 2) {
    Trouble(gateways_[i].name, Kind::kUnplanned, step.length);
    ++bounded_[i];
    After(step.length, [this, i] {
      if (--bounded_[i] == 0) bounded_.erase(i);
      BoundLinks();
    });
  }
  BoundLinks();
  more_routes_ = kMoreRoutes[growths_++ % std::size(kMoreRoutes)];
  PutPolicy();
  After(kChangeAfterGrowth, [this] { PutPolicy(); });
}

auto SoakRun::Strand(const SoakStep& step) -> void {
  auto& gateway = gateways_[step.party];
  if (std::exchange(gateway.stranded, true)) return;
  constexpr FaultProxy::Cut kCuts[] = {FaultProxy::Cut::kHang, FaultProxy::Cut::kReset,
                                       FaultProxy::Cut::kRefuseNew};
  const auto cut = kCuts[std::chrono::duration_cast<std::chrono::milliseconds>(step.at).count() %
                         std::size(kCuts)];
  const auto set = [this, &gateway, party = step.party](FaultProxy::Cut value, bool stranded) {
    Trouble(gateway.name, Kind::kUnplanned, Duration::zero());
    ledger_.With([&](PromiseLedger& ledger) { ledger.OnStranded(gateway.name, stranded, Now()); });
    for (auto& target : targets_) target.proxy->SetCut(party, value);
  };
  set(cut, true);
  After(step.length, [set, &gateway] {
    gateway.stranded = false;
    set(FaultProxy::Cut::kNone, false);
  });
}

auto SoakRun::HarmTarget(int number, Duration length,
                         const std::function<void(FaultProxy::Behaviour&)>& harm) -> void {
  auto& target = targets_[number];
  Trouble(target.identity.name, Kind::kUnplanned, length);
  harm(target.now);
  target.proxy->SetBehaviour(target.now);
  After(length, [&target, life = target.lives] {
    if (target.lives != life) return;
    const bool refuse = target.now.refuse;
    target.now = {};
    target.now.refuse = refuse;
    target.proxy->SetBehaviour(target.now);
  });
}

auto SoakRun::DoTarget(const SoakStep& step) -> void {
  auto& target = targets_[step.party];
  if (target.away) return;
  using Behaviour = FaultProxy::Behaviour;
  switch (step.action) {
    case SoakAction::kTargetCut:
      HarmTarget(step.party, step.length,
                 [](Behaviour& now) { now.forward_to_server = now.forward_to_client = false; });
      break;
    case SoakAction::kTargetLosesAnswers:
      HarmTarget(step.party, step.length, [](Behaviour& now) { now.forward_to_client = false; });
      break;
    case SoakAction::kTargetSlow:
      HarmTarget(step.party, step.length, [](Behaviour& now) { now.delay = kSlowLink; });
      break;
    case SoakAction::kTargetTruncates:
      HarmTarget(step.party, step.length,
                 [](Behaviour& now) { now.spoil = FaultProxy::Spoil::kTruncate; });
      break;
    case SoakAction::kTargetAddsBytes:
      HarmTarget(step.party, step.length,
                 [](Behaviour& now) { now.spoil = FaultProxy::Spoil::kExtra; });
      break;
    case SoakAction::kTargetRepeatsAnswers:
      target.target->SetNearlyFull(true);
      After(step.length, [&target] { target.target->SetNearlyFull(false); });
      HarmTarget(step.party, step.length,
                 [](Behaviour& now) { now.spoil = FaultProxy::Spoil::kRepeat; });
      break;
    case SoakAction::kTargetStrays:
      for (std::size_t i = step.party % kStrayStride; i < targets_.size(); i += kStrayStride) {
        auto& other = targets_[i];
        if (other.away) continue;
        other.target->SetNearlyFull(true);
        After(step.length, [&other] { other.target->SetNearlyFull(false); });
        HarmTarget(static_cast<int>(i), step.length, [&](Behaviour& now) {
          now.spoil = FaultProxy::Spoil::kStray;
          now.seed = options_.seed + i;
        });
      }
      break;
    case SoakAction::kTargetRestarts:
      Trouble(target.identity.name, Kind::kUnplanned, step.length);
      target.away = true;
      target.proxy->SetListening(false);
      target.proxy->ResetConnections();
      After(step.length, [this, &target] { StartTarget(target); });
      break;
    case SoakAction::kTargetReset:
      Trouble(target.identity.name, Kind::kUnplanned, Duration::zero());
      target.proxy->ResetConnections();
      break;
    case SoakAction::kTargetSilence:
      Trouble(target.identity.name, Kind::kUnplanned, kTargetSilenceTime);
      target.proxy->SilenceConnections();
      break;
    case SoakAction::kTargetSheds:
      target.target->SetShedding(true);
      After(step.length, [&target] { target.target->SetShedding(false); });
      break;
    case SoakAction::kTargetNamesLimit:
      target.target->SetLimit(kLimitPerSecond);
      After(step.length, [&target] { target.target->SetLimit(std::nullopt); });
      break;
    case SoakAction::kTargetLeave:
      target.away = true;
      target.target->SetDraining(true);
      ledger_.With([&](PromiseLedger& ledger) { ledger.OnLeaving(target.identity.name, Now()); });
      Register(target, "draining");
      After(kDrainTime + kAfterDrain,
            [this, &target, length = step.length] { EndLife(target, length); });
      break;
    default:
      EndLife(target, step.length);
  }
}

}  // namespace heatherspan
