#include "steering/choose_executor.h"

#include <random>
#include <vector>

namespace heatherspan {
namespace {

/// Draws an owner with a probability in proportion to its number of targets.
auto Draw(const std::vector<TargetOwners::Share>& shares, int targets, Random& random)
    -> InstanceId {
  int left = std::uniform_int_distribution<int>(0, targets - 1)(random);
  for (const auto& share : shares) {
    if (left < share.targets) return share.owner;
    left -= share.targets;
  }
  return shares.back().owner;
}

}  // namespace

auto ChooseExecutor(const TargetOwners& owners, const ZoneLoads& loads, const ServiceName& service,
                    const ZoneName& zone, MonotonicTime now, Random& random)
    -> std::optional<InstanceId> {
  const auto shares = owners.OwnersIn(service, zone, now);
  if (shares.empty()) return std::nullopt;
  int targets = 0;
  for (const auto& share : shares) targets += share.targets;
  const auto first = Draw(shares, targets, random);
  const auto second = Draw(shares, targets, random);
  const auto first_free = loads.FreeSlots(zone, first, service, now);
  const auto second_free = loads.FreeSlots(zone, second, service, now);
  const bool second_is_better =
      first_free.has_value() && second_free.has_value() && *second_free > *first_free;
  return second_is_better ? second : first;
}

}  // namespace heatherspan
