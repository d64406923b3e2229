#include "steering/choose_executor.h"

#include <random>
#include <vector>

namespace heatherspan {
namespace {

/// Draws an owner with a probability proportional to its number of targets.
auto Draw(const std::vector<TargetOwners::OwnerCount>& counts, int targets, Random& random)
    -> InstanceId {
  int left = std::uniform_int_distribution<int>(0, targets - 1)(random);
  for (const auto& count : counts) {
    if (left < count.targets) return count.owner;
    left -= count.targets;
  }
  return counts.back().owner;
}

}  // namespace

auto ChooseExecutor(const TargetOwners& owners, const ZoneLoadTracker& loads,
                    const ServiceName& service, const ZoneName& zone, MonotonicTime now,
                    Random& random) -> std::optional<InstanceId> {
  const auto counts = owners.OwnersIn(service, zone, now);
  if (counts.empty()) return std::nullopt;
  int targets = 0;
  for (const auto& count : counts) targets += count.targets;
  const auto first = Draw(counts, targets, random);
  const auto second = Draw(counts, targets, random);
  const auto first_free = loads.FreeSlots(zone, first, service, now);
  const auto second_free = loads.FreeSlots(zone, second, service, now);
  const bool second_is_better =
      first_free.has_value() && second_free.has_value() && *second_free > *first_free;
  return second_is_better ? second : first;
}

}  // namespace heatherspan
