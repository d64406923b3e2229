#pragma once

#include <optional>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "steering/target_owners.h"
#include "steering/zone_load_tracker.h"

namespace heatherspan {

/// The entry VM that should execute a request for a service in a zone: of two owners drawn at
/// random, by their numbers of targets, the one with more free slots by its latest report. Nothing
/// when no target of the service in the zone has an owner.
auto ChooseExecutor(const TargetOwners& owners, const ZoneLoadTracker& loads,
                    const ServiceName& service, const ZoneName& zone, MonotonicTime now,
                    Random& random) -> std::optional<InstanceId>;

}  // namespace heatherspan
