#pragma once

#include "base/units.h"

namespace heatherspan {

class FleetTarget;
class VmStanding;

/// Returns the rate at which this node may send to a target that has named a limit for all entry
/// VMs together. The VMs divide the limit without messages. A few VMs share most of it: with a
/// share for each VM, a large fleet could send more at once than a small limit allows, and each VM
/// would wait minutes for its turn. A VM that has lapsed falls back to a small share, which is set
/// aside for as many VMs as there have been, before the others divide its former share. The sum of
/// all shares therefore stays within the limit while VMs join, leave, freeze or are cut off.
auto TargetLimitShare(const VmStanding& standing, const FleetTarget& target,
                      RequestsPerSecond limit) -> RequestsPerSecond;

}  // namespace heatherspan
