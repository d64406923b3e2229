#include "gateway/split_picker.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace heatherspan {
namespace {

auto SameShares(const std::vector<ServiceShare>& a, const std::vector<ServiceShare>& b) -> bool {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
    return x.service == y.service && x.weight == y.weight;
  });
}

}  // namespace

auto SplitPicker::Pick(const Route& route) -> const ServiceName& {
  if (route.shares.size() == 1) return route.shares.front().service;
  auto& turn = turns_[route.name];
  if (!SameShares(turn.shares, route.shares)) {
    turn.shares = route.shares;
    turn.credits.assign(route.shares.size(), 0);
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    turn.credits[i] += route.shares[i].weight;
    total += route.shares[i].weight;
    if (turn.credits[i] > turn.credits[best]) best = i;
  }
  turn.credits[best] -= total;
  return route.shares[best].service;
}

auto SplitPicker::Retain(const std::vector<Route>& routes) -> void {
  absl::flat_hash_map<RouteName, Turn> kept;
  for (const auto& route : routes) {
    const auto found = turns_.find(route.name);
    if (found != turns_.end()) kept.emplace(route.name, std::move(found->second));
  }
  turns_ = std::move(kept);
}

}  // namespace heatherspan
