#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/stable_hash.h"
#include "fmt/format.h"

// Who fills a target's three slots: its owner, every node a subset of the targets, or a central
// assignment that is renewed each second. A seeded loop in virtual time counts target refusals,
// refusals while other slots idle, added latency, connections and probes.

namespace heatherspan {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kSlots = 3;
constexpr double kServiceSeconds = 0.06;
constexpr double kLoad = 0.8;
constexpr double kSeconds = 20;
constexpr double kBetweenZonesMs = 0.5;
constexpr double kProbeSeconds = 5;
constexpr int kSubsetSize = 4;  ///< Targets per node, at least; all targets are covered.

enum class Scheme { kOwner, kSubset, kCentral };

struct Scale {
  int nodes = 0;
  int zones = 0;
  int targets = 0;
};

struct Counts {
  std::int64_t requests = 0;
  std::int64_t target_refusals = 0;
  std::int64_t idle_refusals = 0;  ///< The chooser knew no free slot, but its zone had one.
  double added_ms = 0;
  std::int64_t connections = 0;
  double probes_per_second = 0;
  std::int64_t messages_per_second = 0;  ///< To a coordinator.
};

/// One zone: its nodes and targets are independent of the other zones.
class ZoneRun {
 public:
  ZoneRun(Scheme scheme, int nodes, int targets, std::uint64_t seed)
      : scheme_(scheme), nodes_(nodes), busy_(targets), random_(seed) {
    own_.assign(nodes, std::vector<int>(targets));
    usable_.resize(nodes);
    for (int target = 0; target < targets; ++target) owners_.push_back(OwnerOf(target));
    if (scheme == Scheme::kSubset) ChooseSubsets();
    if (scheme == Scheme::kCentral) assigned_.assign(nodes, std::vector<int>(targets));
  }

  auto Run(Counts& counts) -> void {
    const double rate = kLoad * kSlots * static_cast<double>(busy_.size()) / kServiceSeconds;
    std::exponential_distribution<double> pause(rate);
    std::exponential_distribution<double> work(1 / kServiceSeconds);
    double next_assignment = 0;
    for (double now = pause(random_); now < kSeconds; now += pause(random_)) {
      while (!done_.empty() && done_.top().time <= now) Finish();
      if (scheme_ == Scheme::kCentral && now >= next_assignment) {
        Assign();
        next_assignment = now + 1;
      }
      Arrive(now, work(random_), counts);
    }
    counts.connections += Connections();
    const auto probers = scheme_ == Scheme::kOwner ? static_cast<double>(busy_.size())
                                                   : static_cast<double>(Pairs());
    counts.probes_per_second += probers / kProbeSeconds;
    if (scheme_ == Scheme::kCentral) counts.messages_per_second += std::int64_t{2} * nodes_;
  }

 private:
  struct Done {
    double time = 0;
    int node = 0;
    int target = 0;
    friend auto operator<(const Done& a, const Done& b) -> bool { return a.time > b.time; }
  };

  auto OwnerOf(int target) const -> int {
    int best = 0;
    std::uint64_t best_score = 0;
    for (int node = 0; node < nodes_; ++node) {
      const auto score = CombineHash(static_cast<std::uint64_t>(target), StableHash("", node));
      if (score > best_score) {
        best = node;
        best_score = score;
      }
    }
    return best;
  }

  auto ChooseSubsets() -> void {
    const int targets = static_cast<int>(busy_.size());
    const int size = std::min(targets, std::max(kSubsetSize, (targets + nodes_ - 1) / nodes_));
    int next = 0;
    for (auto& usable : usable_) {
      for (int i = 0; i < size; ++i) usable.push_back(next++ % targets);
    }
  }

  /// Each slot goes to a node at random, as demand is equal.
  auto Assign() -> void {
    for (auto& node : assigned_) std::fill(node.begin(), node.end(), 0);
    int next = static_cast<int>(random_() % static_cast<std::uint64_t>(nodes_));
    for (std::size_t target = 0; target < busy_.size(); ++target) {
      for (int slot = 0; slot < kSlots; ++slot) ++assigned_[next++ % nodes_][target];
    }
  }

  auto Arrive(double now, double work, Counts& counts) -> void {
    ++counts.requests;
    int node = static_cast<int>(random_() % static_cast<std::uint64_t>(nodes_));
    int target = -1;
    if (scheme_ == Scheme::kOwner) {
      target = ChooseOwned(node, counts);
    } else {
      target = ChooseFree(node);
    }
    if (target < 0) {
      const bool any_free =
          std::any_of(busy_.begin(), busy_.end(), [](int busy) { return busy < kSlots; });
      counts.idle_refusals += any_free ? 1 : 0;
      return;
    }
    if (busy_[target] >= kSlots) {
      ++counts.target_refusals;
      return;
    }
    ++busy_[target];
    ++own_[node][target];
    done_.push({now + work, node, target});
  }

  /// The first node forwards to an owner with a free slot; of two drawn at random the freer one.
  auto ChooseOwned(int& node, Counts& counts) -> int {
    int best = -1;
    for (int draw = 0; draw < 2; ++draw) {
      const auto drawn = static_cast<int>(random_() % busy_.size());
      const int owner = owners_[drawn];
      for (std::size_t i = 0; i < busy_.size(); ++i) {
        if (owners_[i] != owner || busy_[i] >= kSlots) continue;
        if (best < 0 || busy_[i] < busy_[best]) best = static_cast<int>(i);
      }
    }
    if (best < 0) return best;
    // A hop within the zone counts as one between zones, which is its upper bound.
    if (owners_[best] != node) counts.added_ms += 2 * kBetweenZonesMs;
    node = owners_[best];
    return best;
  }

  /// The target with the fewest own requests that has a free slot as far as the node knows.
  auto ChooseFree(int node) -> int {
    int best = -1;
    for (int target = 0; target < static_cast<int>(busy_.size()); ++target) {
      if (Limit(node, target) <= own_[node][target]) continue;
      if (best < 0 || own_[node][target] < own_[node][best]) best = target;
    }
    return best;
  }

  auto Limit(int node, int target) const -> int {
    if (scheme_ == Scheme::kCentral) return assigned_[node][target];
    const auto& usable = usable_[node];
    return std::find(usable.begin(), usable.end(), target) == usable.end() ? 0 : kSlots;
  }

  auto Finish() -> void {
    const auto done = done_.top();
    done_.pop();
    --busy_[done.target];
    --own_[done.node][done.target];
  }

  auto Pairs() const -> std::int64_t {
    std::int64_t pairs = 0;
    for (int node = 0; node < nodes_; ++node) {
      for (int target = 0; target < static_cast<int>(busy_.size()); ++target) {
        pairs += Limit(node, target) > 0 ? 1 : 0;
      }
    }
    return pairs;
  }
  auto Connections() const -> std::int64_t {
    const auto targets = static_cast<std::int64_t>(busy_.size());
    return scheme_ == Scheme::kSubset ? Pairs() * kSlots : targets * kSlots;
  }

  Scheme scheme_;
  int nodes_;
  std::vector<int> busy_;
  std::vector<int> owners_;
  std::vector<std::vector<int>> own_;
  std::vector<std::vector<int>> usable_;
  std::vector<std::vector<int>> assigned_;
  std::priority_queue<Done> done_;
  Random random_;
};

auto Measure(Scheme scheme, const Scale& scale) -> Counts {
  Counts counts;
  for (int zone = 0; zone < scale.zones; ++zone) {
    const auto part = [&](int all) { return all / scale.zones + (zone < all % scale.zones); };
    ZoneRun run(scheme, part(scale.nodes), part(scale.targets), kSeed + zone);
    run.Run(counts);
  }
  return counts;
}

auto Main() -> int {
  fmt::print("seed {}, load {:.0f}%\n", kSeed, kLoad * 100);
  fmt::print("{:>5} {:>7} {:<8} {:>12} {:>12} {:>9} {:>6} {:>8} {:>9}\n", "nodes", "targets",
             "scheme", "refused/1000", "idle/1000", "added ms", "conns", "probes/s", "coord./s");
  bool holds = true;
  for (const auto& scale : {Scale{7, 6, 12}, Scale{70, 12, 120}, Scale{640, 23, 1100}}) {
    for (const auto& [scheme, name] :
         {std::pair(Scheme::kOwner, "owner"), std::pair(Scheme::kSubset, "subset"),
          std::pair(Scheme::kCentral, "central")}) {
      const auto counts = Measure(scheme, scale);
      const auto per = [&](std::int64_t count) {
        return 1000.0 * static_cast<double>(count) / static_cast<double>(counts.requests);
      };
      fmt::print("{:>5} {:>7} {:<8} {:>12.1f} {:>12.1f} {:>9.2f} {:>6} {:>8.1f} {:>9}\n",
                 scale.nodes, scale.targets, name, per(counts.target_refusals),
                 per(counts.idle_refusals), counts.added_ms / static_cast<double>(counts.requests),
                 counts.connections, counts.probes_per_second, counts.messages_per_second);
      if (scheme == Scheme::kOwner) holds = holds && counts.target_refusals == 0;
    }
  }
  return holds ? 0 : 1;
}

}  // namespace
}  // namespace heatherspan

auto main() -> int { return heatherspan::Main(); }
