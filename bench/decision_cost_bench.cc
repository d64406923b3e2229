#include <benchmark/benchmark.h>

#include <chrono>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/rate_limiter.h"
#include "admission/target_pool.h"
#include "allocation_counter.h"
#include "decision_scenario.h"
#include "steering/answer_lookup.h"
#include "steering/choose_executor.h"
#include "steering/link_budget.h"
#include "steering/rank_zones.h"
#include "steering/shift_limiter.h"
#include "steering/target_owners.h"

// The cost of each decision, and its growth with nodes, sites and blocks. The counter
// allocs_per_op shows the calls of operator new for one decision.

namespace heatherspan {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

/// Counts allocations over the loop of a benchmark.
class AllocationsPerOperation {
 public:
  explicit AllocationsPerOperation(benchmark::State& state)
      : state_(state), before_(AllocationCount()) {}
  AllocationsPerOperation(const AllocationsPerOperation&) = delete;
  auto operator=(const AllocationsPerOperation&) -> AllocationsPerOperation& = delete;
  ~AllocationsPerOperation() {
    state_.counters["allocs_per_op"] =
        static_cast<double>(AllocationCount() - before_) / static_cast<double>(state_.iterations());
  }

 private:
  benchmark::State& state_;
  std::size_t before_;
};

auto ScaleOf(const benchmark::State& state) -> DecisionScale {
  DecisionScale scale;
  scale.nodes = static_cast<int>(state.range(0));
  scale.zones = static_cast<int>(state.range(1));
  scale.blocks = static_cast<int>(state.range(2));
  // More sites have more targets: two of each service in every one.
  scale.targets_per_service = 2 * scale.zones;
  return scale;
}

auto Scales(benchmark::internal::Benchmark* bench) -> void {
  bench->ArgNames({"nodes", "sites", "blocks"});
  bench->Args({7, 12, 24})->Args({70, 12, 24})->Args({640, 12, 24});
  bench->Args({7, 180, 24})->Args({640, 180, 24})->Args({640, 12, 110'000});
  bench->Args({640, 180, 110'000});
}

auto LoadsOf(const SteeringView& view) -> ZoneLoadTracker {
  ZoneLoadTracker loads;
  for (const auto& node : view.nodes()) {
    NodeLoad load{node.zone, node.instance, {}, 10};
    for (const auto& service : view.services()) {
      load.services.push_back({service.service->name, 6, 3, 0});
    }
    loads.OnReport(load, kStart);
  }
  return loads;
}

auto Clients(std::size_t blocks) -> std::vector<IpAddress> {
  Random random(kSeed);
  std::vector<IpAddress> clients;
  for (int i = 0; i < 4096; ++i) {
    const auto b = random() % blocks;
    const auto text = fmt::format("{}.{}.{}.7", 10 + b / 65536, b / 256 % 256, b % 256);
    clients.push_back(IpAddress::Parse(text).value());
  }
  return clients;
}

auto BenchLookup(benchmark::State& state) -> void {
  const auto view = ScaledView(ScaleOf(state));
  const auto clients = Clients(view->document().clients.size());
  Random random(kSeed);
  std::size_t i = 0;
  const AllocationsPerOperation allocations(state);
  for (auto _ : state) {
    const LookupQuery query{"service-1", clients[i++ % clients.size()]};
    benchmark::DoNotOptimize(AnswerLookup(*view, query, random));
  }
}
BENCHMARK(BenchLookup)->Apply(Scales);

auto BenchClientMapFind(benchmark::State& state) -> void {
  DecisionScale scale;
  scale.blocks = static_cast<int>(state.range(0));
  const auto map = ClientMap::Build(ScaledDocument(scale).clients);
  const auto clients = Clients(map.size());
  std::size_t i = 0;
  const AllocationsPerOperation allocations(state);
  for (auto _ : state) benchmark::DoNotOptimize(map.Find(clients[i++ % clients.size()]));
}
BENCHMARK(BenchClientMapFind)->ArgName("blocks")->Arg(24)->Arg(110'000);

auto BenchClientMapBuild(benchmark::State& state) -> void {
  DecisionScale scale;
  scale.blocks = static_cast<int>(state.range(0));
  const auto document = ScaledDocument(scale);
  for (auto _ : state) benchmark::DoNotOptimize(ClientMap::Build(document.clients));
}
BENCHMARK(BenchClientMapBuild)
    ->ArgName("blocks")
    ->Arg(24)
    ->Arg(110'000)
    ->Unit(benchmark::kMillisecond);

auto BenchViewBuild(benchmark::State& state) -> void {
  const auto view = ScaledView(ScaleOf(state));
  auto document = std::make_shared<const Document>(view->document());
  auto clients = std::make_shared<const ClientMap>(view->clients());
  for (auto _ : state) {
    benchmark::DoNotOptimize(SteeringView::Build(document, clients, view->nodes()));
  }
}
BENCHMARK(BenchViewBuild)->Apply(Scales)->Unit(benchmark::kMicrosecond);

auto BenchRankZones(benchmark::State& state) -> void {
  const auto view = ScaledView(ScaleOf(state));
  const auto loads = LoadsOf(*view);
  const ServiceName service("service-1");
  const AllocationsPerOperation allocations(state);
  for (auto _ : state) {
    benchmark::DoNotOptimize(RankZones(*view, loads, service, view->zones()[0].name, kStart));
  }
}
BENCHMARK(BenchRankZones)->Apply(Scales);

auto BenchOwnersUpdate(benchmark::State& state) -> void {
  const auto view = ScaledView(ScaleOf(state));
  TargetOwners owners(view->nodes()[0].instance);
  for (auto _ : state) owners.Update(*view, kStart);
}
BENCHMARK(BenchOwnersUpdate)->Apply(Scales)->Unit(benchmark::kMicrosecond);

auto BenchChooseExecutor(benchmark::State& state) -> void {
  const auto view = ScaledView(ScaleOf(state));
  const auto loads = LoadsOf(*view);
  TargetOwners owners(view->nodes()[0].instance);
  owners.Update(*view, kStart);
  const ServiceName service("service-1");
  Random random(kSeed);
  const AllocationsPerOperation allocations(state);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        ChooseExecutor(owners, loads, service, view->zones()[0].name, kStart, random));
  }
}
BENCHMARK(BenchChooseExecutor)->Apply(Scales);

auto BenchShiftAndLink(benchmark::State& state) -> void {
  const auto view = ScaledView(ScaleOf(state));
  ShiftLimiter limiter;
  limiter.Configure(view->document());
  LinkBudget budget;
  budget.Update(*view, kStart);
  const ServiceName service("service-1");
  const auto& home = view->regions()[0].name;
  const auto& other = view->regions()[1].name;
  auto now = kStart;
  const AllocationsPerOperation allocations(state);
  for (auto _ : state) {
    now += std::chrono::microseconds(800);
    limiter.OnRequest(service, home, now);
    benchmark::DoNotOptimize(limiter.Admit(service, home, other, now));
    benchmark::DoNotOptimize(budget.TryReserve(home, other, Bytes(8192), now));
  }
}
BENCHMARK(BenchShiftAndLink)->Apply(Scales);

auto BenchTargetPool(benchmark::State& state) -> void {
  OwnedTargets service{ServiceName("service-1"), 3, {}};
  for (int i = 0; i < state.range(0); ++i) {
    service.targets.push_back({TargetName(fmt::format("target-{}", i)), ZoneName("z"), {}});
  }
  TargetPool pool;
  pool.Configure({service});
  Random random(kSeed);
  auto now = kStart;
  const TargetResult answered{TargetOutcome::kAnswered, std::chrono::milliseconds(20)};
  const AllocationsPerOperation allocations(state);
  for (auto _ : state) {
    now += std::chrono::microseconds(100);
    const auto slot = pool.Acquire(service.service, now, random);
    pool.Release(std::get<TargetSlot>(slot), answered, now);
  }
}
BENCHMARK(BenchTargetPool)->ArgName("owned_targets")->Arg(2)->Arg(12)->Arg(100);

auto BenchAdmissionQueue(benchmark::State& state) -> void {
  AdmissionQueue queue(static_cast<std::size_t>(state.range(0)));
  const ServiceThroughput pace{1000, std::chrono::microseconds(1), {}};
  WaitingRequest request;
  request.deadline = kStart + std::chrono::hours(1);
  const auto offer = [&] {
    ++request.id;
    request.service = ServiceName(fmt::format("service-{}", request.id % 4));
    request.team = TeamName(fmt::format("team-{}", request.id % 4));
    request.value = static_cast<double>(request.id % 4 + 1);
    benchmark::DoNotOptimize(queue.Offer(request, pace, kStart));
  };
  for (int i = 0; i < 2 * state.range(0); ++i) offer();
  const auto any = [](const ServiceName&) { return true; };
  for (auto _ : state) {
    offer();
    offer();
    benchmark::DoNotOptimize(queue.TakeNext(any, kStart));
  }
}
BENCHMARK(BenchAdmissionQueue)->ArgName("capacity")->Arg(64)->Arg(1024);

auto BenchRateLimiter(benchmark::State& state) -> void {
  RateLimiter limiter(RequestsPerSecond(1e6), 10, kStart);
  auto now = kStart;
  const AllocationsPerOperation allocations(state);
  for (auto _ : state) {
    now += std::chrono::nanoseconds(700);
    benchmark::DoNotOptimize(limiter.TryTake(now));
  }
}
BENCHMARK(BenchRateLimiter);

}  // namespace
}  // namespace heatherspan

BENCHMARK_MAIN();
