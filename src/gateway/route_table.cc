#include "gateway/route_table.h"

#include <algorithm>
#include <optional>
#include <set>

#include "absl/strings/ascii.h"

namespace heatherspan {

auto CanonicalHost(std::string_view host) -> std::string {
  const auto colon = host.rfind(':');
  const auto bracket = host.rfind(']');
  const bool has_port =
      colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket);
  return absl::AsciiStrToLower(std::string(has_port ? host.substr(0, colon) : host));
}

RouteTable::RouteTable(const std::vector<Route>& routes) {
  for (const auto& route : routes) hosts_[CanonicalHost(route.host)][route.path_prefix] = route;
}

auto RouteTable::Find(std::string_view host, std::string_view target) const -> const Route* {
  const auto routes = hosts_.find(CanonicalHost(host));
  if (routes == hosts_.end()) return nullptr;
  auto path = target.substr(0, target.find('?'));
  // Every prefix ends with a slash, so the loop checks only prefixes that end at a slash.
  while (true) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
    if (found != routes->second.end()) return &found->second;
    if (slash == 0) return nullptr;
    path = path.substr(0, slash);
  }
}

auto RouteTable::RoutesOf(std::string_view host) const -> std::vector<const Route*> {
  std::vector<const Route*> routes;
  const auto found = hosts_.find(CanonicalHost(host));
  if (found == hosts_.end()) return routes;
  for (const auto& [prefix, route] : found->second) routes.push_back(&route);
  return routes;
}

auto RouteTable::AllowedRegions(std::string_view host) const -> std::vector<RegionName> {
  std::set<RegionName> any;
  std::optional<std::set<RegionName>> all;
  for (const auto* route : RoutesOf(host)) {
    const std::set<RegionName> allowed(route->allowed_regions.begin(),
                                       route->allowed_regions.end());
    if (allowed.empty()) continue;
    any.insert(allowed.begin(), allowed.end());
    if (!all.has_value()) {
      all = allowed;
    } else {
      std::erase_if(*all, [&](const RegionName& region) { return !allowed.contains(region); });
    }
  }
  const auto& regions = all.has_value() && !all->empty() ? *all : any;
  return {regions.begin(), regions.end()};
}

}  // namespace heatherspan
