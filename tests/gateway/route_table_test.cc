#include "gateway/route_table.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

auto MakeRoute(const std::string& name, const std::string& host, const std::string& prefix)
    -> Route {
  Route route;
  route.name = RouteName(name);
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

class RouteTableTest : public testing::Test {
 protected:
  auto Found(std::string_view host, std::string_view target) const -> std::string {
    const auto* route = table_.Find(host, target);
    return route == nullptr ? "" : route->name.value();
  }

  RouteTable table_{{MakeRoute("root", "a.example", "/"), MakeRoute("shop", "a.example", "/shop/"),
                     MakeRoute("cart", "a.example", "/shop/cart/"),
                     MakeRoute("other", "B.example", "/shop/")}};
};

// Guards against a shorter prefix that hides a longer one.
TEST_F(RouteTableTest, SelectsLongestPrefix) {
  EXPECT_EQ(Found("a.example", "/shop/cart/7"), "cart");
  EXPECT_EQ(Found("a.example", "/shop/cart"), "shop");
  EXPECT_EQ(Found("a.example", "/shop"), "root");
  EXPECT_EQ(Found("a.example", "/"), "root");
}

// Guards against a query that is matched as part of the path.
TEST_F(RouteTableTest, IgnoresQuery) {
  EXPECT_EQ(Found("a.example", "/x?next=/shop/cart/"), "root");
  EXPECT_EQ(Found("a.example", "/shop/cart/?a=b"), "cart");
}

// Guards against a route that is chosen by another path than the one that its target gets.
TEST_F(RouteTableTest, TakesThePathAsWritten) {
  for (const auto* target : {"/shop/./cart/7", "/shop//cart/7", "/shop/x/../cart/7",
                             "/shop/c%61rt/7", "/shop/cart%2F7", "/shop/Cart/7"}) {
    EXPECT_EQ(Found("a.example", target), "shop") << target;
  }
  EXPECT_EQ(Found("a.example", "/shop/cart//../7"), "cart");
  EXPECT_EQ(Found("a.example", "//shop/cart/7"), "root");
  for (const auto* target : {"", "*", "?/shop/cart/", "a.example:80", "http://a.example/shop/x"}) {
    EXPECT_EQ(Found("a.example", target), "") << target;
  }
  EXPECT_EQ(Found("a.example.", "/shop/x"), "");
  EXPECT_EQ(Found("[a.example]:80", "/shop/x"), "");
}

// Guards against hosts that differ only in case or port and are treated as different hosts.
TEST_F(RouteTableTest, IgnoresCaseAndPortOfHost) {
  EXPECT_EQ(Found("A.EXAMPLE:8080", "/shop/x"), "shop");
  EXPECT_EQ(Found("b.example", "/shop/x"), "other");
}

// Guards against a request that reaches a service without a matching route.
TEST_F(RouteTableTest, FindsNoRouteForUnknownHostOrPath) {
  EXPECT_EQ(Found("c.example", "/shop/x"), "");
  EXPECT_EQ(Found("b.example", "/cart/x"), "");
  EXPECT_EQ(Found("b.example", "no-path"), "");
  EXPECT_TRUE(table_.RoutesOf("c.example").empty());
  EXPECT_EQ(table_.RoutesOf("a.example").size(), 3U);
}

// Guards against callers of a region without entry VMs who are sent to a region in which a
// restricted route of their host may not be served, because another route of it is not restricted.
TEST_F(RouteTableTest, RestrictedRoutesDecideWhereAHostIsServed) {
  const auto regions_of = [](const std::vector<std::string>& restrictions) {
    std::vector<Route> routes;
    for (const auto& restriction : restrictions) {
      auto route = MakeRoute(restriction, "h", "/" + std::to_string(routes.size()) + "/");
      for (const char c : restriction) route.allowed_regions.emplace_back(std::string(1, c));
      routes.push_back(route);
    }
    std::string names;
    for (const auto& region : RouteTable(routes).AllowedRegions("h")) names += region.value();
    return names;
  };
  EXPECT_EQ(regions_of({"", ""}), "");
  EXPECT_EQ(regions_of({"", "a"}), "a");
  EXPECT_EQ(regions_of({"ab", "bc", ""}), "b");
  EXPECT_EQ(regions_of({"a", "b"}), "ab");
}

}  // namespace
}  // namespace heatherspan
