#include "gateway/team_access.h"

namespace heatherspan {

auto TeamAccess::Apply(const TrafficPolicy& /*policy*/) -> void {}

auto TeamAccess::Rule(const Route& route, std::string_view /*key*/, Duration /*age*/) const
    -> Ruling {
  return {Outcome::kAllowed, std::nullopt, route};
}

}  // namespace heatherspan
