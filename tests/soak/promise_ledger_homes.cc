#include <algorithm>

#include "fmt/format.h"
#include "soak/promise_ledger.h"

namespace heatherspan {

auto PromiseLedger::CheckHome(const Entry& entry, const SeenArrival& arrival, MonotonicTime now)
    -> void {
  const auto& route = entry.request.route;
  auto policies = PoliciesFor(entry.sent, now);
  std::erase_if(policies,
                [&](const Policy* policy) { return !policy->facts.services.contains(route); });
  const auto has_homes = [&](const Policy* policy) {
    return policy->facts.regions.contains(route);
  };
  if (!std::any_of(policies.begin(), policies.end(), has_homes)) return;
  const auto allows = [&](const Policy* policy) {
    const auto home = policy->facts.regions.find(route);
    return home == policy->facts.regions.end() || home->second == arrival.region;
  };
  ++home_counts_.arrivals;
  if (allows(policies.front())) return;
  if (arrival.misdirected) {
    ++home_counts_.misdirected;
  } else if (std::any_of(policies.begin(), policies.end(), allows)) {
    ++home_counts_.former_homes;
  } else {
    const auto milliseconds = [](Duration time) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    Report("HOME", fmt::format("request {} of route {} reached {} in region {}, {} ms after {} was "
                               "sent it; homes are elsewhere since {} ms before that",
                               arrival.id, route, arrival.target_name, arrival.region,
                               milliseconds(now - entry.sent), entry.request.gateway,
                               milliseconds(entry.sent - policies.back()->since)));
  }
}

}  // namespace heatherspan
