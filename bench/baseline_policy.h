#pragma once

#include <memory>
#include <random>
#include <vector>

#include "admission/retry_budget.h"
#include "comparison_world.h"

namespace heatherspan {

/// The policies to compare with. Each first node sends straight to a target of its choice and tries
/// up to three times after a refusal. They keep neither shift caps nor link budgets, and have no
/// queue. Targets in lost zones are known after the detection time.
class BaselinePolicy {
 public:
  enum class Kind { kRoundRobin, kNearestFirst, kLeastReportedLoad };

  BaselinePolicy(World& world, Kind kind)
      : world_(world),
        kind_(kind),
        reported_(world.targets.size()),
        turn_(world.nodes.size() * world.view->services().size()) {}

  auto Start(const std::shared_ptr<Request>& request) -> void {
    if (world_.Measured(*request)) ++world_.result.requests;
    Try(request);
  }

  auto Tick() -> void {
    std::vector<int> busy;
    for (const auto& target : world_.targets) busy.push_back(target.lies ? 0 : target.busy);
    world_.After(std::chrono::seconds(world_.setting.report_age_s),
                 [this, busy = std::move(busy)] { reported_ = busy; });
  }

  auto OnDetection() -> void {}

 private:
  static constexpr int kMostTries = 3;

  auto Usable(const WorldTarget& target, std::size_t service) const -> bool {
    return target.service == service && (target.alive || !world_.detected);
  }

  auto Distance(const Request& request, std::size_t index) const -> Duration {
    return world_.OneWay(world_.node_zones[request.node], world_.targets[index].zone);
  }

  auto Choose(const Request& request) -> std::size_t {
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < world_.targets.size(); ++i) {
      if (Usable(world_.targets[i], request.service)) usable.push_back(i);
    }
    if (kind_ == Kind::kRoundRobin) {
      auto& turn = turn_[request.node * world_.view->services().size() + request.service];
      return usable[turn++ % usable.size()];
    }
    // Random order among equals.
    std::shuffle(usable.begin(), usable.end(), world_.random);
    if (kind_ == Kind::kLeastReportedLoad) {
      return *std::min_element(usable.begin(), usable.end(), [&](std::size_t a, std::size_t b) {
        return reported_[a] < reported_[b];
      });
    }
    std::stable_sort(usable.begin(), usable.end(), [&](std::size_t a, std::size_t b) {
      return Distance(request, a) < Distance(request, b);
    });
    // Each try goes one zone further.
    std::size_t zones = 1;
    for (std::size_t i = 1; i < usable.size(); ++i) {
      const bool next_zone = world_.targets[usable[i]].zone != world_.targets[usable[i - 1]].zone;
      zones += next_zone ? 1 : 0;
      if (zones == static_cast<std::size_t>(request.tries)) return usable[i];
    }
    return usable.front();
  }

  auto Try(const std::shared_ptr<Request>& request) -> void {
    if (request->tries++ >= kMostTries) return;
    if (world_.Measured(*request)) ++world_.result.tries;
    const auto index = Choose(*request);
    const auto way = Distance(*request, index);
    world_.After(way, [this, request, index, way] { Arrive(request, index, way); });
  }

  auto Arrive(const std::shared_ptr<Request>& request, std::size_t index, Duration way) -> void {
    auto& target = world_.targets[index];
    if (!target.alive || !world_.Begin(target)) {
      world_.After(way + RetryBudget::Backoff(request->tries, world_.random),
                   [this, request] { Try(request); });
      return;
    }
    world_.After(request->work, [this, request, index, way] {
      auto& done = world_.targets[index];
      --done.busy;
      if (!done.alive || !world_.alive[request->node]) return;
      world_.Answered(*request, way + kToClient);
    });
  }

  World& world_;
  Kind kind_;
  std::vector<int> reported_;
  std::vector<std::size_t> turn_;
};

}  // namespace heatherspan
