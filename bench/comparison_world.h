#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "decision_scenario.h"
#include "document/document.h"
#include "steering/steering_view.h"

// A small, seeded queueing loop: fixed arrivals, targets with three slots, and the latencies of
// section 1 of the design page. It knows nothing of the policies.

namespace heatherspan {

constexpr auto kComparisonStart = MonotonicTime(std::chrono::hours(1));
constexpr Duration kFaultAt = std::chrono::seconds(10);
constexpr Duration kDetection = std::chrono::seconds(5);
constexpr Duration kLength = std::chrono::seconds(70);
constexpr Duration kWarmUp = std::chrono::seconds(4);
constexpr Duration kMeanService = std::chrono::milliseconds(60);
constexpr Duration kToClient = std::chrono::milliseconds(8);
constexpr Duration kRequestDeadline = std::chrono::seconds(2);
constexpr int kSlots = 3;

enum class Fault { kNone, kEntryVm, kZone, kRegion };

/// One setting of the comparison.
struct ComparisonCase {
  std::string deployment;
  double load = 1;  ///< Offered work per slot.
  Fault fault = Fault::kNone;
  int report_age_s = 0;
  bool lying = false;
  int shift_percent = 20;
};

/// A request of the fixed sequence.
struct Request {
  std::uint64_t id = 0;
  std::size_t service = 0;
  std::size_t home_zone = 0;
  std::size_t block = 0;
  Duration work{};
  MonotonicTime arrived;
  MonotonicTime deadline;
  std::size_t node = 0;  ///< The first node.
  int tries = 0;
  bool counted = false;  ///< By the shift limiter.
  bool done = false;
  std::vector<std::size_t> tried_zones;
  std::vector<RegionName> admitted;
};

struct WorldTarget {
  std::size_t service = 0;
  std::size_t zone = 0;
  const Target* target = nullptr;
  int busy = 0;
  bool alive = true;
  bool lies = false;  ///< Reports that it is idle.
};

/// What a run counted.
struct ComparisonResult {
  double offered_value = 0;
  double answered_value = 0;
  std::vector<double> latencies_ms;
  std::int64_t requests = 0;
  std::int64_t tries = 0;
  std::int64_t overloads = 0;  ///< Refusals by targets without a free slot.
  int over_slots = 0;          ///< Times that a target had more requests than slots.
  double headroom_sum = 0;
  int headroom_samples = 0;
  double largest_shift = 0;  ///< Growth of a shift within the interval, above the cap if > cap.

  auto Share() const -> double { return answered_value / offered_value; }
  auto Amplification() const -> double {
    return static_cast<double>(tries) / static_cast<double>(std::max<std::int64_t>(1, requests));
  }
  auto Headroom() const -> double { return headroom_sum / std::max(1, headroom_samples); }
  auto Percentile(double part) -> double {
    if (latencies_ms.empty()) return 0;
    const auto index =
        static_cast<std::size_t>(part * static_cast<double>(latencies_ms.size() - 1));
    const auto at = latencies_ms.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(latencies_ms.begin(), at, latencies_ms.end());
    return *at;
  }
};

/// The entry VMs, targets and callers, and the virtual time.
class World {
 public:
  World(const ComparisonCase& chosen, std::uint64_t seed) : setting(chosen), random(seed) {
    DecisionScale scale;
    scale.blocks = 240;
    auto made = ScaledDocument(scale);
    constexpr std::array<double, 4> kValues = {3, 9, 8, 1};
    for (std::size_t i = 0; i < made.services.size(); ++i) {
      auto& service = made.services[i];
      service.value = kValues[i];
      service.expected_time = kMeanService;
      service.shift_percent = setting.shift_percent;
      service.team = TeamName(i % 2 == 0 ? "desk" : "books");
    }
    const bool stranokrak = setting.deployment == "stranokrak";
    for (auto& link : made.links) link.capacity = MegabitsPerSecond(stranokrak ? 280 : 4000);
    made.objectives = stranokrak ? Objectives{0.8, 0.2} : Objectives{0.3, 0.7};
    document = std::make_shared<const Document>(std::move(made));
    clients = std::make_shared<const ClientMap>(ClientMap::Build(document->clients));
    nodes = ScaledNodes(*document, 7);
    alive.assign(nodes.size(), true);
    for (auto& node : nodes) node.utilization.reset();
    // SteeringView orders nodes by instance; the same order keeps the indices equal.
    std::sort(nodes.begin(), nodes.end(),
              [](const auto& a, const auto& b) { return a.instance < b.instance; });
    view = SteeringView::Build(document, clients, nodes);
    full_view = view;
    for (std::size_t s = 0; s < view->services().size(); ++s) {
      for (std::size_t z = 0; z < view->zones().size(); ++z) {
        for (const auto* target : view->services()[s].targets[z]) {
          targets.push_back({s, z, target, 0, true, setting.lying && targets.size() % 3 == 0});
        }
      }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      node_zones.push_back(*view->FindZone(nodes[i].zone));
    }
  }

  auto At(MonotonicTime time, std::function<void()> action) -> void {
    events_.push({time, next_event_++, std::move(action)});
  }
  auto After(Duration pause, std::function<void()> action) -> void {
    At(now + pause, std::move(action));
  }

  auto Run() -> void {
    while (!events_.empty() && events_.top().time < kComparisonStart + kLength) {
      auto action = std::move(const_cast<Event&>(events_.top()).action);
      now = events_.top().time;
      events_.pop();
      action();
    }
  }

  auto RegionOfZone(std::size_t zone) const -> std::size_t { return view->zones()[zone].region; }

  /// Kills what the fault takes; membership notices after the detection time.
  auto ApplyFault() -> void {
    if (setting.fault == Fault::kNone) return;
    const auto is_hit = [&](std::size_t zone) {
      constexpr std::size_t kZone = 1;
      return setting.fault == Fault::kRegion ? RegionOfZone(zone) == RegionOfZone(kZone)
                                             : zone == kZone;
    };
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (is_hit(node_zones[i])) alive[i] = false;
    }
    if (setting.fault == Fault::kEntryVm) return;
    for (auto& target : targets) {
      if (is_hit(target.zone)) target.alive = false;
    }
  }

  auto DetectFault() -> void {
    std::vector<LiveNode> live;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (alive[i]) live.push_back(nodes[i]);
    }
    detected = true;
    view = SteeringView::Build(document, clients, std::move(live));
  }

  /// Starts work at a target. False when it has no free slot.
  auto Begin(WorldTarget& target) -> bool {
    if (target.busy >= kSlots) {
      ++result.overloads;
      return false;
    }
    ++target.busy;
    if (target.busy > kSlots) ++result.over_slots;
    return true;
  }

  auto Measured(const Request& request) const -> bool {
    return request.arrived >= kComparisonStart + kWarmUp;
  }

  auto Answered(Request& request, Duration way_back) -> void {
    if (request.done) return;
    request.done = true;
    const auto end = now + way_back;
    if (!Measured(request) || end > request.deadline) return;
    result.answered_value += view->services()[request.service].service->value;
    result.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(end - request.arrived).count());
  }

  auto SampleHeadroom() -> void {
    std::vector<int> busy(view->zones().size());
    std::vector<int> slots(view->zones().size());
    for (const auto& target : targets) {
      if (!target.alive) continue;
      busy[target.zone] += target.busy;
      slots[target.zone] += kSlots;
    }
    double fullest = 0;
    for (std::size_t z = 0; z < busy.size(); ++z) {
      if (slots[z] > 0) fullest = std::max(fullest, static_cast<double>(busy[z]) / slots[z]);
    }
    result.headroom_sum += 1 - fullest;
    ++result.headroom_samples;
  }

  auto OneWay(std::size_t from, std::size_t to) const -> Duration {
    return view->OneWayDelay(from, to);
  }

  ComparisonCase setting;
  Random random;
  MonotonicTime now = kComparisonStart;
  std::shared_ptr<const Document> document;
  std::shared_ptr<const ClientMap> clients;
  std::shared_ptr<const SteeringView> view;
  std::shared_ptr<const SteeringView> full_view;
  std::vector<LiveNode> nodes;
  std::vector<std::size_t> node_zones;
  std::vector<bool> alive;
  std::vector<WorldTarget> targets;
  bool detected = false;
  ComparisonResult result;

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t number = 0;
    std::function<void()> action;

    friend auto operator<(const Event& a, const Event& b) -> bool {
      return a.time != b.time ? a.time > b.time : a.number > b.number;
    }
  };

  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
};

}  // namespace heatherspan
