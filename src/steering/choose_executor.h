#pragma once

#include <optional>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "steering/target_owners.h"
#include "steering/zone_load_tracker.h"

namespace heatherspan {

/// Chooses the entry VM that executes a request for a service in a zone. Of two owners, drawn at
/// random with weights by their numbers of targets, it returns the one whose latest report shows
/// more free slots. Empty when no target of the service in the zone has an owner.
auto ChooseExecutor(const TargetOwners& owners, const ZoneLoadTracker& loads,
                    const ServiceName& service, const ZoneName& zone, MonotonicTime now,
                    Random& random) -> std::optional<InstanceId>;

}  // namespace heatherspan
