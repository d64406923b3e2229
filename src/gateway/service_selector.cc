#include "gateway/service_selector.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace heatherspan {
namespace {

auto SameWeights(const std::vector<WeightedService>& a, const std::vector<WeightedService>& b)
    -> bool {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
    return x.service == y.service && x.weight == y.weight;
  });
}

}  // namespace

auto ServiceSelector::Select(const Route& route) -> const ServiceName& {
  if (route.weighted_services.size() == 1) return route.weighted_services.front().service;
  auto& schedule = schedules_[route.name];
  if (!SameWeights(schedule.weighted_services, route.weighted_services)) {
    schedule.weighted_services = route.weighted_services;
    schedule.credits.assign(route.weighted_services.size(), 0);
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.weighted_services.size(); ++i) {
    schedule.credits[i] += route.weighted_services[i].weight;
    total += route.weighted_services[i].weight;
    if (schedule.credits[i] > schedule.credits[best]) best = i;
  }
  schedule.credits[best] -= total;
  return route.weighted_services[best].service;
}

auto ServiceSelector::Retain(const std::vector<Route>& routes) -> void {
  absl::flat_hash_map<RouteName, Schedule> kept;
  for (const auto& route : routes) {
    const auto found = schedules_.find(route.name);
    if (found != schedules_.end()) kept.emplace(route.name, std::move(found->second));
  }
  schedules_ = std::move(kept);
}

}  // namespace heatherspan
