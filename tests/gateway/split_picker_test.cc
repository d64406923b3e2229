#include "gateway/split_picker.h"

#include <gtest/gtest.h>

#include <map>

namespace heatherspan {
namespace {

auto MakeRoute(std::vector<ServiceShare> shares) -> Route {
  Route route;
  route.name = RouteName("r");
  route.shares = std::move(shares);
  return route;
}

// Guards against shares that are only met on average: 20 requests are enough to be off by more than
// 0.1 with random draws.
TEST(SplitPicker, MeetsTheWeightsInEachShortSpan) {
  const auto route = MakeRoute({{ServiceName("a"), 90}, {ServiceName("b"), 10}});
  SplitPicker picker;
  for (int span = 0; span < 50; ++span) {
    std::map<std::string, int> picked;
    for (int i = 0; i < 20; ++i) ++picked[picker.Pick(route).value()];
    EXPECT_EQ(picked["a"], 18);
    EXPECT_EQ(picked["b"], 2);
  }
}

// Guards against credits of old weights that distort new ones.
TEST(SplitPicker, BeginsAnewWhenTheWeightsChange) {
  SplitPicker picker;
  for (int i = 0; i < 7; ++i) {
    picker.Pick(MakeRoute({{ServiceName("a"), 99}, {ServiceName("b"), 1}}));
  }
  const auto even = MakeRoute({{ServiceName("a"), 1}, {ServiceName("b"), 1}});
  std::map<std::string, int> picked;
  for (int i = 0; i < 10; ++i) ++picked[picker.Pick(even).value()];
  EXPECT_EQ(picked["a"], 5);
}

}  // namespace
}  // namespace heatherspan
