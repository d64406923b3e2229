#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/retry_budget.h"
#include "admission/target_pool.h"
#include "comparison_world.h"
#include "steering/choose_executor.h"
#include "steering/link_budget.h"
#include "steering/rank_zones.h"
#include "steering/shift_limiter.h"
#include "steering/target_owners.h"

namespace heatherspan {

/// This project's decision modules, wired in the simplest way.
class SteeredPolicy {
 public:
  explicit SteeredPolicy(World& world) : world_(world) {
    for (const auto& node : world.nodes) {
      nodes_.push_back(std::make_unique<Node>(node.instance));
      nodes_.back()->shift.Configure(*world.document);
    }
    UpdateViews();
  }

  auto Start(const std::shared_ptr<Request>& request) -> void {
    if (world_.Measured(*request)) ++world_.result.requests;
    nodes_[request->node]->retries.OnRequest();
    Try(request);
  }

  auto OnDetection() -> void {
    for (const auto& region : world_.view->regions()) {
      for (auto& node : nodes_) {
        node->shift.SetHealthy(region.name, region.live_nodes > 0, world_.now);
      }
    }
    UpdateViews();
  }

  auto Tick() -> void {
    UpdateViews();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (world_.alive[i]) Report(i);
    }
    for (const auto& target : world_.targets) ReportTarget(target);
  }

  auto ExpireQueues() -> void {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (const auto& expired : nodes_[i]->queue.TakeExpired(world_.now)) {
        Refuse(TakeWaiting(i, expired.id), i, std::nullopt);
      }
    }
  }

  /// Where the requests of a service and home region were sent; for the check of the shift cap.
  struct Shifted {
    MonotonicTime time;
    std::size_t region = 0;
    bool refused = false;
  };
  using ShiftKey = std::pair<std::size_t, std::size_t>;
  auto shifts() const -> const std::map<ShiftKey, std::vector<Shifted>>& { return shifts_; }

 private:
  static constexpr int kMostTries = 3;
  static constexpr std::size_t kQueueCapacity = 64;

  struct Waiting {
    std::shared_ptr<Request> request;
    std::size_t zone = 0;
  };
  struct Node {
    explicit Node(InstanceId self) : owners(self) {}

    ZoneLoadTracker loads;
    TargetOwners owners;
    ShiftLimiter shift;
    LinkBudget link;
    RetryBudget retries;
    TargetPool pool;
    AdmissionQueue queue{kQueueCapacity};
    std::map<std::uint64_t, Waiting> waiting;
  };

  auto ServiceAt(std::size_t index) const -> const Service& {
    return *world_.view->services()[index].service;
  }

  auto UpdateViews() -> void {
    for (auto& node : nodes_) {
      node->owners.Update(*world_.view, world_.now);
      node->link.Update(*world_.view, world_.now);
      std::vector<OwnedTargets> owned;
      for (const auto& table : world_.view->services()) {
        owned.push_back({table.service->name, kSlots,
                         node->owners.OwnedTargets(table.service->name, world_.now)});
      }
      node->pool.Configure(owned);
    }
  }

  auto Report(std::size_t index) -> void {
    auto& node = *nodes_[index];
    NodeLoad load{world_.nodes[index].zone, world_.nodes[index].instance, {}, 0};
    const bool lies = world_.setting.lying && world_.node_zones[index] == 2;
    for (const auto& table : world_.view->services()) {
      auto item = node.pool.Load(table.service->name, world_.now);
      item.queued = static_cast<std::uint32_t>(node.queue.Queued(table.service->name));
      if (lies) item.used_slots = item.queued = 0;
      load.services.push_back(item);
    }
    world_.After(std::chrono::seconds(world_.setting.report_age_s),
                 [this, load, measured = world_.now] {
                   for (auto& other : nodes_) other->loads.OnReport(load, measured);
                 });
  }

  auto ReportTarget(const WorldTarget& target) -> void {
    if (!target.alive) return;
    const TargetReport report{target.target->name, kSlots, target.lies ? 0 : target.busy};
    world_.After(std::chrono::seconds(world_.setting.report_age_s),
                 [this, report, measured = world_.now] {
                   for (auto& node : nodes_) node->pool.OnReport(report, measured);
                 });
  }

  auto Try(const std::shared_ptr<Request>& request) -> void {
    auto& node = *nodes_[request->node];
    const auto& service = ServiceAt(request->service);
    const auto from = world_.node_zones[request->node];
    const auto choices = RankZones(*world_.view, node.loads, service.name,
                                   world_.nodes[request->node].zone, world_.now, world_.random());
    for (const auto& choice : choices) {
      const auto& tried = request->tried_zones;
      if (std::find(tried.begin(), tried.end(), choice.zone_index) != tried.end()) continue;
      if (!MayUse(*request, choice)) continue;
      const auto executor = Executor(*request, choice);
      if (!executor.has_value()) continue;
      request->tried_zones.push_back(choice.zone_index);
      ++request->tries;
      if (world_.Measured(*request)) ++world_.result.tries;
      const auto to = world_.node_zones[*executor];
      world_.After(world_.OneWay(from, to), [this, request, executor, zone = choice.zone_index] {
        Execute(request, *executor, zone);
      });
      return;
    }
  }

  auto MayUse(Request& request, const ZoneChoice& choice) -> bool {
    auto& node = *nodes_[request.node];
    const auto& service = ServiceAt(request.service);
    const auto home = world_.RegionOfZone(request.home_zone);
    const auto& home_name = world_.view->regions()[home].name;
    const auto& own =
        world_.view->regions()[world_.RegionOfZone(world_.node_zones[request.node])].name;
    auto& log = shifts_[{request.service, home}];
    if (!request.counted) {
      node.shift.OnRequest(service.name, home_name, world_.now);
      log.push_back({world_.now, home, true});
      request.counted = true;
    }
    if (!node.link.CanReserve(own, choice.region, service.mean_response, world_.now)) return false;
    auto& admitted = request.admitted;
    if (std::find(admitted.begin(), admitted.end(), choice.region) == admitted.end()) {
      if (node.shift.Admit(service.name, home_name, choice.region, world_.now).has_value()) {
        return false;
      }
      admitted.push_back(choice.region);
      const auto serving = *world_.view->FindRegion(choice.region);
      if (serving != home) log.push_back({world_.now, serving, false});
    }
    return node.link.TryReserve(own, choice.region, service.mean_response, world_.now);
  }

  auto Executor(const Request& request, const ZoneChoice& choice) -> std::optional<std::size_t> {
    auto& node = *nodes_[request.node];
    const auto& name = ServiceAt(request.service).name;
    if (choice.zone_index == world_.node_zones[request.node]) {
      const auto load = node.pool.Load(name, world_.now);
      if (load.used_slots < load.usable_slots) return request.node;
    }
    const auto instance =
        ChooseExecutor(node.owners, node.loads, name, choice.zone, world_.now, world_.random);
    if (!instance.has_value()) return std::nullopt;
    for (std::size_t i = 0; i < world_.nodes.size(); ++i) {
      if (world_.nodes[i].instance == *instance) return i;
    }
    return std::nullopt;
  }

  auto Execute(const std::shared_ptr<Request>& request, std::size_t executor, std::size_t zone)
      -> void {
    auto& node = *nodes_[executor];
    const auto& service = ServiceAt(request->service);
    if (!world_.alive[executor]) {
      Reply(request, executor, zone, ZoneOutcome::kFailed, std::nullopt);
      return;
    }
    if (node.queue.Queued(service.name) == 0) {
      const auto acquired = node.pool.Acquire(service.name, world_.now, world_.random);
      if (const auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
        Serve(request, executor, zone, *slot);
        return;
      }
      if (std::get<Reason>(acquired) != Reason::kTargetBusy) {
        Reply(request, executor, zone, ZoneOutcome::kRefused, std::nullopt);
        return;
      }
    }
    Enqueue(request, executor, zone);
  }

  auto Enqueue(const std::shared_ptr<Request>& request, std::size_t executor, std::size_t zone)
      -> void {
    auto& node = *nodes_[executor];
    const auto& service = ServiceAt(request->service);
    const auto load = node.pool.Load(service.name, world_.now);
    const ServiceThroughput pace{static_cast<int>(load.usable_slots), service.expected_time, {}};
    const auto way_back =
        world_.OneWay(world_.node_zones[executor], world_.node_zones[request->node]) + kToClient;
    const WaitingRequest waiting{
        request->id, service.name, service.team, service.value, 1, request->deadline - way_back};
    const auto offered = node.queue.Offer(waiting, pace, world_.now);
    if (offered.displaced.has_value()) {
      Refuse(TakeWaiting(executor, offered.displaced->id), executor,
             offered.displaced->refusal.retry_after);
    }
    if (offered.refusal.has_value()) {
      Reply(request, executor, zone, ZoneOutcome::kRefused, offered.refusal->retry_after);
    } else {
      node.waiting[request->id] = {request, zone};
    }
  }

  auto TakeWaiting(std::size_t executor, std::uint64_t id) -> Waiting {
    auto& waiting = nodes_[executor]->waiting;
    const auto found = waiting.find(id);
    auto taken = found->second;
    waiting.erase(found);
    return taken;
  }

  auto Refuse(const Waiting& waiting, std::size_t executor,
              std::optional<std::chrono::milliseconds> retry_after) -> void {
    Reply(waiting.request, executor, waiting.zone, ZoneOutcome::kRefused, retry_after);
  }

  auto Serve(const std::shared_ptr<Request>& request, std::size_t executor, std::size_t zone,
             const TargetSlot& slot) -> void {
    const auto found = std::find_if(
        world_.targets.begin(), world_.targets.end(),
        [&](const WorldTarget& target) { return target.target->name == slot.target->name; });
    auto& target = *found;
    if (!target.alive || !world_.Begin(target)) {
      const auto outcome = target.alive ? TargetOutcome::kShed : TargetOutcome::kConnectFailed;
      nodes_[executor]->pool.Release(slot, {outcome, {}}, world_.now);
      Reply(request, executor, zone, ZoneOutcome::kRefused, std::nullopt);
      return;
    }
    world_.After(request->work, [this, request, executor, zone, slot, &target] {
      --target.busy;
      if (!world_.alive[executor]) return;
      const auto outcome = target.alive ? TargetOutcome::kAnswered : TargetOutcome::kConnectionLost;
      nodes_[executor]->pool.Release(slot, {outcome, request->work}, world_.now);
      ServeWaiting(executor);
      if (target.alive) Reply(request, executor, zone, ZoneOutcome::kAnswered, std::nullopt);
    });
  }

  auto ServeWaiting(std::size_t executor) -> void {
    auto& node = *nodes_[executor];
    const auto can_run = [&](const ServiceName& service) {
      const auto load = node.pool.Load(service, world_.now);
      return load.used_slots < load.usable_slots;
    };
    for (;;) {
      const auto next = node.queue.TakeNext(can_run, world_.now);
      if (!next.has_value()) return;
      const auto waiting = TakeWaiting(executor, next->id);
      const auto acquired = node.pool.Acquire(next->service, world_.now, world_.random);
      if (const auto* slot = std::get_if<TargetSlot>(&acquired); slot != nullptr) {
        Serve(waiting.request, executor, waiting.zone, *slot);
      } else {
        Refuse(waiting, executor, std::nullopt);
      }
    }
  }

  /// Carries the outcome back to the first node, which answers or tries again.
  auto Reply(const std::shared_ptr<Request>& request, std::size_t executor, std::size_t zone,
             ZoneOutcome outcome, std::optional<std::chrono::milliseconds> retry_after) -> void {
    const auto way = world_.OneWay(world_.node_zones[executor], world_.node_zones[request->node]);
    world_.After(way, [this, request, zone, outcome, retry_after] {
      if (!world_.alive[request->node]) return;
      auto& node = *nodes_[request->node];
      node.loads.OnOutcome(world_.view->zones()[zone].name, ServiceAt(request->service).name,
                           outcome, retry_after, world_.now);
      if (outcome == ZoneOutcome::kAnswered) {
        world_.Answered(*request, kToClient);
        return;
      }
      if (request->tries >= kMostTries || !node.retries.TryRetry()) return;
      world_.After(RetryBudget::Backoff(request->tries, world_.random),
                   [this, request] { Try(request); });
    });
  }

  World& world_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<ShiftKey, std::vector<Shifted>> shifts_;
};

}  // namespace heatherspan
