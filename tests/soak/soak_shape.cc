#include "soak/soak_shape.h"

#include <algorithm>

namespace heatherspan {
namespace {

using std::literals::chrono_literals::operator""ms;

/// A prefix, a longer one below it, and one of another host.
auto AddRoutesThatSwapHomes(const SoakRoute& base, const std::string& region,
                            const std::string& other, std::vector<SoakRoute>& routes) -> void {
  const auto add = [&](const char* name, const char* path, const char* host, bool is_swapped) {
    auto route = base;
    route.name = name;
    route.path = path;
    route.host = host;
    route.region = is_swapped ? other : region;
    route.moves_home_to = is_swapped ? region : other;
    routes.push_back(std::move(route));
  };
  add("swap", "swap", "", false);
  add("swap-below", "swap/below", "", true);
  add("swap-host", "swap", "homes.example", false);
}

auto StandardShape() -> SoakShape {
  SoakShape shape;
  shape.zones = {"east-a", "west-a", "east-b", "west-b"};
  shape.gateway_zones = shape.zones;
  for (const auto* service : {"alpha", "beta"}) {
    for (const auto& zone : shape.zones) shape.target_places.push_back({service, zone});
  }
  shape.services = {"alpha", "beta"};
  shape.routes = {{.name = "read", .service = "alpha", .weight = 9},
                  {.name = "book", .service = "beta", .method = "POST", .weight = 6},
                  {.name = "moving", .service = "beta", .weight = 3, .moves_to = "alpha"},
                  {.name = "home", .service = "alpha", .weight = 2, .region = "east"},
                  {.name = "extra", .service = "beta", .method = "PUT", .comes_and_goes = true}};
  AddRoutesThatSwapHomes({.name = "", .service = "alpha", .weight = 2}, "east", "west",
                         shape.routes);
  return shape;
}

/// The users' site of that name. Work, times and rates are those of its sheet.
auto RotabioLitoralShape() -> SoakShape {
  SoakShape shape;
  shape.zones = {"pampa-a", "litoral-a", "cuyo-a", "pampa-b", "litoral-b", "cuyo-b"};
  shape.gateway_zones = shape.zones;
  shape.gateway_zones.emplace_back("pampa-a");
  shape.services = {"rota-view", "load-ledger", "order-desk", "history-archive"};
  for (const auto& service : shape.services) {
    for (const auto* zone : {"pampa-a", "pampa-a", "pampa-a", "litoral-a", "cuyo-a", "cuyo-a",
                             "pampa-b", "pampa-b", "pampa-b", "litoral-b", "cuyo-b", "cuyo-b"}) {
      shape.target_places.push_back({service, zone});
    }
  }
  shape.size = {.gateways = static_cast<int>(shape.gateway_zones.size()),
                .targets = static_cast<int>(shape.target_places.size()),
                .zones = static_cast<int>(shape.zones.size()),
                .has_strays = true};
  shape.callers = 180;
  shape.max_connections = 360;
  shape.cold_per_second = 3.7;
  shape.routes = {
      {"rota-read", "rota-view", "GET", 81.7, 480ms, 1500ms, 2500ms, 400ms, 2},
      {"load-confirm", "load-ledger", "POST", 39.1, 640ms, 2000ms, 3000ms, 500ms, 1},
      {"substrate-order", "order-desk", "PUT", 33.7, 336ms, 1200ms, 1500ms, 300ms, 0, "rota-read"},
      {"history-read", "history-archive", "GET", 19.5, 1920ms, 5000ms, 10000ms, 1200ms, 2},
      {.name = "idle-moving", .service = "history-archive", .weight = 3, .moves_to = "rota-view"},
      {.name = "idle-extra", .service = "load-ledger", .method = "POST", .comes_and_goes = true}};
  AddRoutesThatSwapHomes({.name = "", .service = "rota-view", .weight = 4}, "pampa", "cuyo",
                         shape.routes);
  // Most requests concern an object that the target has handled lately.
  for (auto& route : shape.routes) {
    route.long_part = 0.2;
    route.shortest_work = route.long_work / 4;
    route.longest_work = route.long_work / 3;
  }
  shape.bounds.retry_allowance = 60;
  shape.bounds.cold_per_second = shape.cold_per_second * 1.5 + 5;
  // Around the pauses between two requests of one gateway to one target.
  shape.shortest_idle = 150ms;
  shape.longest_idle = 4000ms;
  shape.follows_pages = true;
  return shape;
}

}  // namespace

auto SoakShape::Route(std::string_view name) const -> const SoakRoute* {
  const auto found = std::find_if(routes.begin(), routes.end(),
                                  [&](const SoakRoute& route) { return route.name == name; });
  return found == routes.end() ? nullptr : &*found;
}

auto FindSoakShape(std::string_view name) -> const SoakShape* {
  static const auto standard = StandardShape();
  static const auto rotabio_litoral = RotabioLitoralShape();
  if (name == "standard") return &standard;
  if (name == "rotabio-litoral") return &rotabio_litoral;
  return nullptr;
}

}  // namespace heatherspan
