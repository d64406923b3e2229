#include "gateway/warm_odds.h"

namespace heatherspan {
namespace {

/// Weight of the latest request: about the last twenty of a route and hint count.
constexpr double kWeight = 0.05;

}  // namespace

auto WarmOdds::Odds(const RouteName& route, WarmHint hint) const -> double {
  const auto found = tables_.find(route);
  const auto& table = found == tables_.end() ? kInitial : found->second;
  return table[static_cast<std::size_t>(hint)];
}

auto WarmOdds::Learn(const RouteName& route, WarmHint hint, bool warm) -> void {
  auto& odds = tables_.try_emplace(route, kInitial).first->second[static_cast<std::size_t>(hint)];
  odds = odds * (1 - kWeight) + (warm ? kWeight : 0);
}

}  // namespace heatherspan
