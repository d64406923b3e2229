#include "gateway/in_flight_rules.h"

namespace heatherspan {

auto InFlightRules::RouteFor(const ForwardedRequest& request, const Route* in_force) -> Route {
  if (in_force != nullptr) return *in_force;
  auto route = request.attributes().route;
  route.allowed_regions.clear();
  return route;
}

auto InFlightRules::Apply(ForwardedRequest& request, const std::optional<TeamName>& team,
                          ConfigVersion in_force, const TeamAccess::Ruling& ruling) -> bool {
  if (ruling.outcome != TeamAccess::Outcome::kAllowed) return false;
  // The quota of the team that holds the key now was not asked, and the target would be told the
  // earlier one.
  if (team.has_value() && ruling.team != team) return false;
  request.Restrict(ruling.route.retry_rule);
  return request.KeepTo(in_force, ruling.route.allowed_regions);
}

}  // namespace heatherspan
