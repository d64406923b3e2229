#pragma once

#include <cstdint>

#include "base/strong_number.h"
#include "base/strong_string.h"

namespace heatherspan {

using EnvironmentName = StrongString<struct EnvironmentNameTag>;
using DigestKey = StrongString<struct DigestKeyTag>;  ///< Of the digests that name requests.
using NodeName = StrongString<struct NodeNameTag>;    ///< An entry VM.
using RegionName = StrongString<struct RegionNameTag>;
using RouteName = StrongString<struct RouteNameTag>;
using RequestId = StrongString<struct RequestIdTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using TargetName = StrongString<struct TargetNameTag>;
using TeamName = StrongString<struct TeamNameTag>;
using ZoneName = StrongString<struct ZoneNameTag>;  ///< An availability zone.

/// Identifies one run of a process; drawn at random at its start.
using InstanceId = StrongNumber<struct InstanceIdTag, std::uint64_t>;

/// The version of an accepted configuration; it only grows. Zero means none.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::uint64_t>;

}  // namespace heatherspan
