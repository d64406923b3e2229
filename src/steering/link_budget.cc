#include "steering/link_budget.h"

#include <algorithm>

namespace heatherspan {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto LinkBudget::Update(const SteeringView& view, MonotonicTime now) -> void {
  absl::flat_hash_map<Pair, double> rates;
  for (const auto& link : view.document().links) {
    const double usable = link.capacity.value() * link.usable_fraction * kBytesPerMegabit;
    for (const auto& pair : {Pair(link.a, link.b), Pair(link.b, link.a)}) {
      const auto from = view.FindRegion(pair.first);
      if (!from.has_value() || !view.FindRegion(pair.second).has_value()) continue;
      const auto nodes = std::max<std::size_t>(1, view.regions()[*from].live_nodes);
      rates[pair] = usable / static_cast<double>(nodes);
    }
  }
  absl::erase_if(budgets_, [&](const auto& item) { return !rates.contains(item.first); });
  for (const auto& [pair, rate] : rates) SetRate(pair, rate, now);
}

auto LinkBudget::TryUse(const RegionName& from, const RegionName& to, Bytes bytes,
                        MonotonicTime now) -> bool {
  if (from == to) return true;
  if (!HasRoom(from, to, bytes, now)) return false;
  auto& budget = budgets_.find(Pair(from, to))->second;
  budget.tokens = TokensAt(budget, now) - static_cast<double>(bytes.value());
  budget.updated = std::max(budget.updated, now);
  return true;
}

auto LinkBudget::Correct(const RegionName& from, const RegionName& to, Bytes expected, Bytes actual)
    -> void {
  const auto found = budgets_.find(Pair(from, to));
  if (found == budgets_.end()) return;
  auto& budget = found->second;
  const auto difference = static_cast<double>(expected.value() - actual.value());
  budget.tokens = std::min(budget.burst, budget.tokens + difference);
}

auto LinkBudget::HasRoom(const RegionName& from, const RegionName& to, Bytes bytes,
                         MonotonicTime now) const -> bool {
  if (from == to) return true;
  const auto found = budgets_.find(Pair(from, to));
  if (found == budgets_.end() || found->second.bytes_per_second <= 0) return false;
  const auto& budget = found->second;
  // A response larger than the burst goes through when the bucket is full, and is paid off later.
  return TokensAt(budget, now) >= std::min(static_cast<double>(bytes.value()), budget.burst);
}

auto LinkBudget::TokensAt(const Budget& budget, MonotonicTime now) -> double {
  if (now <= budget.updated) return budget.tokens;
  const double earned = budget.bytes_per_second * Seconds(now - budget.updated);
  return std::min(budget.burst, budget.tokens + earned);
}

auto LinkBudget::SetRate(const Pair& pair, double bytes_per_second, MonotonicTime now) -> void {
  auto& budget = budgets_[pair];
  const bool is_new = budget.burst == 0;
  budget.tokens = TokensAt(budget, now);
  budget.updated = std::max(budget.updated, now);
  budget.bytes_per_second = bytes_per_second;
  budget.burst =
      std::max(static_cast<double>(kSmallestBurst.value()), bytes_per_second * Seconds(kBurst));
  budget.tokens = is_new ? budget.burst : std::min(budget.tokens, budget.burst);
}

}  // namespace heatherspan
