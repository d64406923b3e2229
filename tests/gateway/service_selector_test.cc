#include "gateway/service_selector.h"

#include <gtest/gtest.h>

#include <map>

namespace heatherspan {
namespace {

auto MakeRoute(std::vector<WeightedService> weighted_services) -> Route {
  Route route;
  route.name = RouteName("r");
  route.weighted_services = std::move(weighted_services);
  return route;
}

// Guards against weights that are met only on average. With random selection, the fraction over 20
// requests can be off by more than 0.1.
TEST(ServiceSelector, MeetsWeightsWithinEachShortInterval) {
  const auto route = MakeRoute({{ServiceName("a"), 90}, {ServiceName("b"), 10}});
  ServiceSelector selector;
  for (int interval = 0; interval < 50; ++interval) {
    std::map<std::string, int> picked;
    for (int i = 0; i < 20; ++i) ++picked[selector.Select(route).value()];
    EXPECT_EQ(picked["a"], 18);
    EXPECT_EQ(picked["b"], 2);
  }
}

// Guards against credits of previous weights that distort the new ones.
TEST(ServiceSelector, RestartsWhenWeightsChange) {
  ServiceSelector selector;
  for (int i = 0; i < 7; ++i) {
    selector.Select(MakeRoute({{ServiceName("a"), 99}, {ServiceName("b"), 1}}));
  }
  const auto even = MakeRoute({{ServiceName("a"), 1}, {ServiceName("b"), 1}});
  std::map<std::string, int> picked;
  for (int i = 0; i < 10; ++i) ++picked[selector.Select(even).value()];
  EXPECT_EQ(picked["a"], 5);
}

}  // namespace
}  // namespace heatherspan
