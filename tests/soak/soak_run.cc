#include "soak/soak_run.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <bit>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

#include "base/number_text.h"
#include "fmt/format.h"
#include "platform/names.h"
#include "soak/connection_owner.h"
#include "soak/soak_figures.h"

namespace heatherspan {
namespace {

namespace names = platform_names;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto Now() -> MonotonicTime { return SystemClock().Now(); }

/// The part before the hyphen.
auto RegionOf(const std::string& zone) -> std::string { return zone.substr(0, zone.find('-')); }

auto RouteText(const SoakRoute& route, const std::string& service, const std::string& region)
    -> std::string {
  const auto regions = region.empty() ? "" : fmt::format(R"(,"allowed_regions":["{}"])", region);
  using Seconds = std::chrono::duration<double>;
  return fmt::format(
      R"({{"type":"routes","metadata":{{"name":"{0}"}},"spec":{{"host":"{1}","path_prefix":"/{8}/",)"
      R"("kind":"{2}","timeout_s":{3},"latency_slo_s":{4},"priority":{5},"service":"{6}",)"
      R"("max_attempts":2,"session_affinity":true{7}}}}})",
      route.name, route.host.empty() ? kHost : route.host, route.at_most_once() ? "unsafe" : "safe",
      Seconds(route.timeout).count(), Seconds(route.objective).count(), route.priority, service,
      regions, route.path);
}

auto ServiceText(const std::string& name, const SoakShape& shape) -> std::string {
  return fmt::format(
      R"({{"type":"services","metadata":{{"name":"{}"}},"spec":{{"health_path":"/health",)"
      R"("max_conns":{},"cold_s":3,"cold_per_s":{}}}}})",
      name, shape.max_connections, shape.cold_per_second);
}

}  // namespace

SoakRun::SoakRun(Options options)
    : options_(std::move(options)),
      ledger_(options_.shape->bounds),
      store_({Address(kStoreAddress), kStorePort}),
      observer_(caller_workers_, HttpClient::Limits{.connect_timeout = milliseconds(500)}),
      backend_calls_(target_workers_, options_.seed, *options_.shape, kHost, ledger_) {
  world_.host = kHost;
  world_.shape = options_.shape;
  for (int i = 0; i < options_.size.targets; ++i) AddTarget(i);
  for (int i = 0; i < options_.size.gateways; ++i) AddGateway(i);
  // A gateway announces the address on which it listens.
  store_.SetRewrite([this](std::string value) {
    for (int i = 0; i < options_.size.gateways; ++i) {
      const auto own = Endpoint{Address(kGateways + i), kPeersPort}.Text();
      const auto at = value.find(own);
      if (at == std::string::npos) continue;
      value.replace(at, own.size(), Endpoint{Address(kPeerProxies + i), kPeersPort}.Text());
    }
    return value;
  });
  for (int i = 0; i < options_.callers + kHarmfulCallers; ++i) {
    const auto manner = i >= options_.callers ? SoakCaller::Manner::kHarms
                        : i % 2 == 0          ? SoakCaller::Manner::kClings
                                              : SoakCaller::Manner::kFollows;
    callers_.push_back(std::make_unique<SoakCaller>(
        i, manner, options_.seed * static_cast<std::uint64_t>(options_.callers) + i,
        caller_workers_, world_, ledger_));
  }
}

SoakRun::~SoakRun() {
  gateways_.clear();
  caller_workers_.Stop();
  proxy_workers_.Stop();
  target_workers_.Stop();
}

auto SoakRun::Address(int number) const -> std::string {
  // Loopback addresses of this process alone.
  constexpr int kOctets = 250;
  const int process = ::getpid();
  return fmt::format("127.{}.{}.{}", process / kOctets % kOctets + 1, process % kOctets + 1,
                     number);
}

auto SoakRun::Log(const std::string& line) const -> void {
  std::cout << fmt::format("{:7.3f} {}\n", std::chrono::duration<double>(Now() - began_).count(),
                           line);
}

auto SoakRun::AddTarget(int number) -> void {
  auto& target = targets_.emplace_back();
  const Endpoint endpoint{Address(kTargets + number), kTargetPort};
  const auto& shape = *options_.shape;
  const auto& place = shape.target_places[number % shape.target_places.size()];
  target.identity = {"", place.service, place.zone, RegionOf(place.zone)};
  const auto idle_span = shape.longest_idle - shape.shortest_idle;
  const SoakTarget::Manner manner = {
      shape.shortest_idle + idle_span * number / options_.size.targets, shape.follows_pages};
  target.target = std::make_unique<SoakTarget>(
      target_workers_, endpoint, ledger_, manner, backend_calls_, [this, number] {
        targets_[number].proxy->SetListening(false);
        targets_[number].proxy->ResetConnections();
        harmed_.With([number](std::vector<int>& harmed) { harmed.push_back(number); });
      });
  target.proxy = std::make_unique<FaultProxy>(
      proxy_workers_, Endpoint{Address(kTargetProxies + number), kTargetPort}, endpoint,
      [this](const Endpoint& client, const Endpoint& proxy) { return OwnerOf(client, proxy); });
  BeginLife(target, false, false);
}

auto SoakRun::OwnerOf(const Endpoint& client, const Endpoint& proxy) const -> int {
  std::vector<pid_t> processes;
  for (const auto& gateway : gateways_) processes.push_back(gateway.process->id());
  return FindConnectionOwner(client, proxy, processes);
}

auto SoakRun::AddGateway(int number) -> void {
  auto& gateway = gateways_.emplace_back();
  gateway.zone = options_.shape->gateway_zones[number % options_.shape->gateway_zones.size()];
  gateway.region = RegionOf(gateway.zone);
  gateway.name = fmt::format("edge-{}", number);
  gateway.address = Address(kGateways + number);
  gateway.callers = std::make_unique<FaultProxy>(
      proxy_workers_, Endpoint{Address(kCallerProxies + number), kCallersPort},
      Endpoint{gateway.address, kCallersPort});
  gateway.store = std::make_unique<FaultProxy>(
      proxy_workers_, Endpoint{Address(kStoreProxies + number), kStorePort}, store_.endpoint());
  gateway.peers = std::make_unique<FaultProxy>(
      proxy_workers_, Endpoint{Address(kPeerProxies + number), kPeersPort},
      Endpoint{gateway.address, kPeersPort},
      [this](const Endpoint& client, const Endpoint& proxy) { return OwnerOf(client, proxy); });
  const auto base = options_.folder + "/" + gateway.name;
  gateway.process =
      std::make_unique<GatewayProcess>(options_.program, base + ".toml", base + ".log");
  WriteSettings(gateway);
}

auto SoakRun::WriteSettings(Gateway& gateway) -> void {
  const auto number = static_cast<int>(&gateway - gateways_.data());
  std::ofstream file(options_.folder + "/" + gateway.name + ".toml");
  file << fmt::format(
      "[node]\nname = \"{0}\"\nzone = \"{1}\"\nregion = \"{2}\"\n"
      "[listen]\ncallers = \"{3}:{4}\"\nreadiness = \"{3}:{5}\"\ndirectory = \"{3}:{6}\"\n"
      "metrics = \"{3}:{7}\"\n"
      "[store]\naddress = \"{8}:{9}\"\n"
      "[peers]\nlisten = \"{3}:{11}\"\nseeds = [\"{12}:{11}\", \"{13}:{11}\"]\n"
      "[bounds]\nretry_ratio = 0.2\nretry_allowance = {14}\nstop_grace_s = 6\n"
      "[log]\nlines_per_second = {10}\n[zones]\n",
      gateway.name, gateway.zone, gateway.region, gateway.address, kCallersPort, kReadinessPort,
      kDirectoryPort, kMetricsPort, Address(kStoreProxies + number), kStorePort, gateway.log_lines,
      kPeersPort, Address(kPeerProxies), Address(kPeerProxies + 1),
      options_.shape->bounds.retry_allowance);
  for (const auto& zone : options_.shape->zones) {
    file << fmt::format("{} = \"{}\"\n", zone, RegionOf(zone));
  }
}

auto SoakRun::Register(Target& target, const std::string& state) -> void {
  const auto number = static_cast<int>(&target - targets_.data());
  store_.Put(std::string(names::kTargetPrefix) + target.identity.name,
             fmt::format(R"({{"address":"{}:{}","born":{},"info":{{"service":"{}","version":"v1",)"
                         R"("zone":"{}","max_concurrency":{}}},"status":{{"state":"{}",)"
                         R"("sequence":1,"cold_left_s":{}}}}})",
                         Address(kTargetProxies + number), kTargetPort, target.starts,
                         target.identity.service, target.identity.zone, SoakTarget::kSlots, state,
                         target.starts > 1 && state == "ready" ? 3 : 0));
}

auto SoakRun::BeginLife(Target& target, bool other_service, bool other_region) -> void {
  const auto number = &target - targets_.data();
  ++target.lives;
  target.identity.name = fmt::format("i-{}-{}", number, target.lives);
  if (other_service) {
    const auto& services = options_.shape->services;
    const auto now = std::find(services.begin(), services.end(), target.identity.service);
    target.identity.service = now + 1 == services.end() ? services.front() : *(now + 1);
  }
  if (other_region) {
    // Zones that follow one another are of different regions.
    const auto& zones = options_.shape->zones;
    const auto now = std::find(zones.begin(), zones.end(), target.identity.zone);
    target.identity.zone = now + 1 == zones.end() ? zones.front() : *(now + 1);
    target.identity.region = RegionOf(target.identity.zone);
  }
  StartTarget(target);
}

auto SoakRun::StartTarget(Target& target) -> void {
  ++target.starts;
  target.away = false;
  target.now = {};
  target.target->Become(target.identity, target.starts > 1);
  target.proxy->SetBehaviour(target.now);
  target.proxy->SetListening(true);
  Register(target, "ready");
}

auto SoakRun::LookAfterTargets() -> void {
  const auto harmed = harmed_.With(
      [](std::vector<int>& numbers) { return std::exchange(numbers, std::vector<int>()); });
  for (const int number : harmed) {
    auto& target = targets_[number];
    Log(fmt::format("{} was ended by a request", target.identity.name));
    if (target.away) continue;  // Its address goes to the next instance, as planned.
    target.away = true;
    After(PromiseBounds{}.crash, [this, &target] { StartTarget(target); });
  }
}

auto SoakRun::EndLife(Target& target, Duration away) -> void {
  target.away = true;
  target.now.refuse = true;
  target.proxy->SetBehaviour(target.now);
  target.proxy->ResetConnections();
  Trouble(target.identity.name, Kind::kUnplanned, away);
  const auto remove = [this, name = target.identity.name] {
    ledger_.With([&](PromiseLedger& ledger) { ledger.OnLeaving(name, Now()); });
    store_.Remove(std::string(names::kTargetPrefix) + name);
  };
  After(std::min(kEntryLifetime, away), remove);
  After(away, [this, &target, away] {
    // An address may go to another service; each service keeps at least its other targets.
    const bool reused = away >= kAddressReuse;
    BeginLife(target, reused && target.lives % 4 == 3, reused && target.lives % 2 == 1);
  });
}

auto SoakRun::PutPolicy() -> void {
  if (stores_down_ > 0) {
    After(kWriteAgain, [this] { PutPolicy(); });
    return;
  }
  version_ += kPolicyStep;
  const int number = version_ / kPolicyStep;
  PolicyFacts facts;
  auto text = fmt::format(R"({{"version":"r{}","resources":[)", version_);
  for (const auto& service : options_.shape->services) {
    text += ServiceText(service, *options_.shape) + ',';
  }
  for (const auto& route : options_.shape->routes) {
    if (route.comes_and_goes && number % 3 == 0) continue;
    const bool has_moved = !route.moves_to.empty() && number % 2 == 0;
    const auto& service = has_moved ? route.moves_to : route.service;
    facts.services[route.name] = service;
    // One version or two with the same homes, so that any lag shows.
    const bool home_has_moved =
        !route.moves_home_to.empty() && std::popcount(static_cast<unsigned>(number)) % 2 == 0;
    const auto& region = home_has_moved ? route.moves_home_to : route.region;
    if (!region.empty()) facts.regions[route.name] = region;
    text += RouteText(route, service, region) + ',';
  }
  for (int i = 0; i < more_routes_; ++i) {
    const SoakRoute route = {.name = fmt::format("more-{}", i), .service = ""};
    text += RouteText(route, options_.shape->services.front(), "") + ',';
  }
  text.pop_back();
  text += "]}";
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnPolicy(facts, Now()); });
  store_.Put(std::string(names::kConfigKey), text);
}

auto SoakRun::Trouble(const std::string& party, Kind kind, Duration length) -> void {
  const auto now = Now();
  ledger_.With(
      [&](PromiseLedger& ledger) { ledger.troubles().Add(party, kind, now, now + length); });
}

auto SoakRun::After(Duration delay, std::function<void()> task) -> void {
  tasks_.emplace(Now() + delay, std::move(task));
}

auto SoakRun::ChooseBuild(Gateway& gateway) -> void {
  if (options_.previous.empty()) return;
  const auto number = &gateway - gateways_.data();
  const bool is_previous = (number + gateway.starts++) % 2 == 0;
  gateway.process->SetProgram(is_previous ? options_.previous : options_.program);
  Log(fmt::format("{} starts with the {} build", gateway.name, is_previous ? "previous" : "new"));
}

auto SoakRun::StartGateway(Gateway& gateway) -> void {
  ChooseBuild(gateway);
  gateway.ending = false;
  gateway.restart_at = MonotonicTime::max();
  gateway.stop_deadline = MonotonicTime::max();
  Trouble(gateway.name, Kind::kPlanned, Duration::zero());
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnProcessStart(gateway.name, Now()); });
  if (!gateway.process->Start()) {
    ledger_.With([&](PromiseLedger& ledger) {
      ledger.OnProcessEnd(gateway.name, false, "can't be started");
    });
  }
}

auto SoakRun::Stop(Gateway& gateway, Duration down) -> void {
  if (!gateway.process->running() || gateway.ending) return;
  gateway.ending = true;
  gateway.down_time = down;
  gateway.stop_began = Now();
  gateway.stop_deadline = Now() + kGrace + kOverdue;
  Trouble(gateway.name, Kind::kPlanned, Duration::zero());
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnStopBegin(gateway.name, Now()); });
  gateway.process->Signal(SIGTERM);
}

auto SoakRun::Kill(Gateway& gateway, Duration down) -> void {
  if (!gateway.process->running()) return;
  gateway.ending = true;
  gateway.down_time = down;
  Trouble(gateway.name, Kind::kUnplanned, down);
  gateway.process->Signal(SIGKILL);
}

auto SoakRun::LookAfterGateways() -> void {
  for (auto& gateway : gateways_) {
    if (const auto end = gateway.process->Reap()) {
      Log(fmt::format("{} ended: {}", gateway.name, end->text));
      ledger_.With([&](PromiseLedger& ledger) {
        ledger.OnProcessEnd(gateway.name, gateway.ending, end->text);
      });
      gateway.restart_at = Now() + (gateway.ending ? gateway.down_time : kRestartPause);
    }
    if (gateway.process->running() && Now() > gateway.stop_deadline) {
      const auto began = gateway.stop_began;
      ledger_.With([&](PromiseLedger& ledger) {
        if (ledger.troubles().HasOnlyPlanned(gateway.name, began, Now())) {
          ledger.OnStopOverdue(gateway.name);
        }
      });
      Kill(gateway, gateway.down_time);
      gateway.stop_deadline = MonotonicTime::max();
    }
    if (!gateway.process->running() && Now() > gateway.restart_at) StartGateway(gateway);
  }
}

auto SoakRun::OnNamed(const std::string& asked, const std::string& answer) -> void {
  std::vector<std::string> named;
  std::vector<SoakEntry> entries;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    const auto& gateway = gateways_[i];
    if (answer.find(Endpoint{gateway.address, kCallersPort}.Text()) == std::string::npos) continue;
    named.push_back(gateway.name);
    entries.push_back(
        {gateway.name, {Address(kCallerProxies + static_cast<int>(i)), kCallersPort}});
  }
  named_[asked] = std::move(entries);
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnDirectoryAnswer(asked, named, Now()); });
  world_.entries.clear();
  for (const auto& [gateway, list] : named_) {
    world_.entries.insert(world_.entries.end(), list.begin(), list.end());
  }
  target_workers_.Post([this, entries = world_.entries] { backend_calls_.SetEntries(entries); });
}

auto SoakRun::AskGateways() -> void {
  if (Now() < next_question_) return;
  next_question_ = Now() + kQuestionInterval;
  const auto ask = [this](const Gateway& gateway, std::uint16_t port, std::string target,
                          std::function<void(const HttpResult&)> then) {
    HttpRequest request;
    request.target = std::move(target);
    observer_.Send({gateway.address, port}, std::move(request), kQuestionInterval, std::move(then));
  };
  for (const auto& gateway : gateways_) {
    const auto& name = gateway.name;
    ask(gateway, kReadinessPort, std::string(names::kReadyPath),
        [this, name](const HttpResult& result) {
          ledger_.With([&](PromiseLedger& ledger) {
            ledger.OnReadyAnswer(name, result.status.ok() && result.response.status == 200, Now());
          });
        });
    ask(gateway, kDirectoryPort,
        fmt::format("{}?name={}&region={}&zone={}", names::kDirectoryPath, kHost, gateway.region,
                    gateway.zone),
        [this, name](const HttpResult& result) {
          OnNamed(name, result.status.ok() ? result.response.body : "");
        });
    ask(gateway, kMetricsPort, "/metrics", [this, name](const HttpResult& result) {
      constexpr std::string_view kGauge = "\nheatherspan_config_version ";
      const std::string_view text = result.response.body;
      const auto at = text.find(kGauge);
      if (at == std::string_view::npos) return;
      const auto number =
          text.substr(at + kGauge.size(), text.find('\n', at + 1) - at - kGauge.size());
      const auto version = ParseNumber<std::uint64_t>(number);
      if (!version.has_value()) return;
      ledger_.With([&](PromiseLedger& ledger) { ledger.OnConfigVersion(name, *version); });
    });
  }
}

auto SoakRun::RunUntil(MonotonicTime end) -> void {
  auto last = Now();
  while (last < end) {
    std::this_thread::sleep_for(kLoop);
    const auto now = Now();
    if (now - last > kStall) {
      Log(fmt::format("the soak itself stalled for {} ms",
                      duration_cast<milliseconds>(now - last).count()));
    }
    last = now;
    while (!tasks_.empty() && tasks_.begin()->first <= now) {
      const auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
    LookAfterGateways();
    LookAfterTargets();
    AskGateways();
  }
}

auto SoakRun::AwaitReady() -> bool {
  const auto end = Now() + kStartTime;
  for (const auto& gateway : gateways_) {
    while (!store_.Has(std::string(names::kEntryVmPrefix) + gateway.name)) {
      if (Now() > end) return false;
      RunUntil(Now() + kLoop);
    }
  }
  return true;
}

auto SoakRun::Play() -> bool {
  began_ = Now();
  PutPolicy();
  for (auto& gateway : gateways_) StartGateway(gateway);
  if (!AwaitReady()) return false;
  caller_workers_.Post([this] {
    for (const auto& caller : callers_) caller->Start();
  });
  for (const auto& step : DrawSoakPlan(options_.seed, options_.length, options_.size)) {
    After(step.at, [this, step] { Do(step); });
  }
  RunUntil(Now() + options_.length);
  const auto settled = Now() + kSettled;
  const auto is_whole = [this] {
    return tasks_.empty() &&
           std::all_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
             return gateway.process->running() && !gateway.ending;
           });
  };
  while (!is_whole() && Now() < settled) RunUntil(Now() + kLoop);
  Log("all faults have ended");
  RunUntil(Now() + options_.recovery);
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnRecovered(Now()); });
  RunUntil(Now() + kMeasured);
  caller_workers_.Post([this] { world_.ended = true; });
  RunUntil(Now() + kMeasured);
  ledger_.With([](PromiseLedger& ledger) { ledger.Finish(); });
  return true;
}

}  // namespace heatherspan
