#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "steering/steering_view.h"
#include "steering/zone_choice.h"
#include "steering/zone_load_tracker.h"

namespace heatherspan {

/// The zones that can serve a request that arrived in zone `local_zone`, best first. The home zone
/// comes first unless it has just refused or failed requests of this node: its executing nodes know
/// its load exactly, while reports are late. The others follow by score; `tie_breaker`, a random
/// number or a hash of the request, orders those that are equally good, so that requests of many
/// first nodes don't all meet in one zone.
///
/// Zones without a usable target and regions without a link are left out; zones whose cap shares
/// are used up come after the others. Drained zones of the home region come last, marked as such,
/// since a drain moves traffic only as fast as the shift cap allows; other drained zones are left
/// out. The shift limit and the link budget are taken per request, by ShiftLimiter::Admit and
/// LinkBudget::TryReserve.
auto RankZones(const SteeringView& view, const ZoneLoadTracker& loads, const ServiceName& service,
               const ZoneName& local_zone, MonotonicTime now, std::uint64_t tie_breaker = 0)
    -> std::vector<ZoneChoice>;

}  // namespace heatherspan
