#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "soak/promise_ledger.h"
#include "soak/soak_plan.h"

namespace heatherspan {

/// A kind of request and its route.
struct SoakRoute {
  std::string name;
  std::string service;
  std::string method = "GET";  ///< Others may run at most once.
  double weight = 1;
  std::chrono::milliseconds long_work{1100};
  Duration timeout = std::chrono::milliseconds(1500);
  Duration patience = std::chrono::milliseconds(2500);
  Duration objective = std::chrono::milliseconds(500);
  int priority = 1;
  std::string calls = {};     ///< The route that a run calls through a gateway, unless empty.
  std::string moves_to = {};  ///< The service in every second configuration, unless empty.
  bool comes_and_goes = false;
  std::string region = {};         ///< The only one allowed, unless empty.
  std::string moves_home_to = {};  ///< The region in some configurations, unless empty.
  std::string path = name;         ///< Its prefix, without the slashes around it.
  std::string host = {};           ///< The deployment's own, if empty.
  std::chrono::milliseconds shortest_work{20};
  std::chrono::milliseconds longest_work{120};
  double long_part = 0.12;  ///< Of the requests; they take `long_work`.

  auto at_most_once() const -> bool { return method != "GET"; }
};

/// Where a target stands.
struct SoakPlace {
  std::string service;
  std::string zone;
};

/// A deployment that a soak plays.
struct SoakShape {
  SoakSize size;
  int callers = 32;
  int max_connections = 60;
  double cold_per_second = 3;
  std::vector<std::string> zones;
  std::vector<std::string> gateway_zones;  ///< In turn.
  std::vector<SoakPlace> target_places;    ///< In turn.
  std::vector<std::string> services;
  std::vector<SoakRoute> routes;
  PromiseBounds bounds;
  /// Targets close connections that have been idle for so long, from the first target to the last.
  Duration shortest_idle = std::chrono::seconds(60);
  Duration longest_idle = std::chrono::seconds(60);
  /// Refusals are as the users' pages show them, without the request's id, and targets answer 504
  /// at a deadline.
  bool follows_pages = false;

  /// Null if there is no route of that name.
  auto Route(std::string_view name) const -> const SoakRoute*;
};

/// Null if there is no shape of that name.
auto FindSoakShape(std::string_view name) -> const SoakShape*;

}  // namespace heatherspan
