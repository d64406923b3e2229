#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/route.h"

namespace heatherspan {

/// Finds the route of a request: the route of its host with the longest matching path prefix.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const std::vector<Route>& routes);

  /// Returns the route for a Host header value and a request target with its query; null if no
  /// route matches.
  auto Find(std::string_view host, std::string_view target) const -> const Route*;
  /// Returns all routes of a host.
  auto RoutesOf(std::string_view host) const -> std::vector<const Route*>;
  /// Returns the regions in which all routes of a host may be served. If there are none, returns
  /// those in which any of its restricted routes may be served. Empty if no route is restricted.
  auto AllowedRegions(std::string_view host) const -> std::vector<RegionName>;

 private:
  using PrefixMap = absl::flat_hash_map<std::string, Route>;
  absl::flat_hash_map<std::string, PrefixMap> hosts_;
};

/// Returns a host name in lower case and without a port.
auto CanonicalHost(std::string_view host) -> std::string;

}  // namespace heatherspan
