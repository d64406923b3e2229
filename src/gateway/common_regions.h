#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// Returns the regions that both lists allow. An empty list allows all regions. Returns nothing if
/// no region is left.
auto CommonRegions(const std::vector<RegionName>& one, const std::vector<RegionName>& other)
    -> std::optional<std::vector<RegionName>>;

}  // namespace heatherspan
