#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/route.h"

namespace heatherspan {

/// Finds the route of a request: of its host's routes, the one with the longest matching prefix.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const std::vector<Route>& routes);

  /// The host as the request names it, the target with its query; null if no route matches.
  auto Find(std::string_view host, std::string_view target) const -> const Route*;
  /// All routes of a host.
  auto RoutesOf(std::string_view host) const -> std::vector<const Route*>;

 private:
  using PrefixMap = absl::flat_hash_map<std::string, Route>;
  absl::flat_hash_map<std::string, PrefixMap> hosts_;
};

/// A host name in lower case and without a port.
auto CanonicalHost(std::string_view host) -> std::string;

}  // namespace heatherspan
