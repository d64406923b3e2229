#pragma once

#include <algorithm>
#include <iterator>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// Returns the regions that both lists name, in the order of the first.
inline auto CommonRegions(const std::vector<RegionName>& one, const std::vector<RegionName>& other)
    -> std::vector<RegionName> {
  std::vector<RegionName> common;
  std::copy_if(one.begin(), one.end(), std::back_inserter(common), [&](const RegionName& region) {
    return std::find(other.begin(), other.end(), region) != other.end();
  });
  return common;
}

}  // namespace heatherspan
