#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "caps/base_share_rank.h"
#include "daemon/configuration.h"
#include "membership/member.h"
#include "steering/client_map.h"
#include "steering/live_node.h"

namespace heatherspan {

/// The members as nodes of the steering view. A member that cannot be reached over the direct link
/// counts as suspected, because requests use that link.
auto LiveNodes(const std::vector<Member>& members) -> std::vector<LiveNode>;

/// The entry VMs of a zone that are not dead, for the ranking that assigns base shares.
auto ZoneVms(const std::vector<Member>& members, const ZoneName& zone) -> std::vector<RankedVm>;

}  // namespace heatherspan
