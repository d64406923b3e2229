#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "steering/steering_view.h"
#include "steering/zone_choice.h"
#include "steering/zone_load_tracker.h"

namespace heatherspan {

/// Ranks the zones that can serve a request which arrived in zone `local_zone`, best first. The
/// local zone comes first unless it recently refused or failed requests of this node: its executing
/// nodes know their load exactly, while reports are late. The other zones follow by score.
/// `tie_breaker`, a random number or a hash of the request, orders equally good zones, so that the
/// requests of many receiving entry VMs do not all go to the same zone.
///
/// Zones without a usable target and zones in regions without a link are left out. Zones with
/// used-up cap shares come after the usable ones. Drained zones of the local region come last and
/// are marked, since a drain moves traffic only as fast as the shift cap allows; other drained
/// zones are left out. ShiftLimiter::Admit and LinkBudget::TryReserve apply the shift limit and the
/// link budget for each request.
auto RankZones(const SteeringView& view, const ZoneLoadTracker& loads, const ServiceName& service,
               const ZoneName& local_zone, MonotonicTime now, std::uint64_t tie_breaker = 0)
    -> std::vector<ZoneChoice>;

}  // namespace heatherspan
