#include "gateway/common_regions.h"

#include <algorithm>
#include <iterator>

namespace heatherspan {

auto CommonRegions(const std::vector<RegionName>& one, const std::vector<RegionName>& other)
    -> std::optional<std::vector<RegionName>> {
  if (one.empty()) return other;
  if (other.empty()) return one;
  std::vector<RegionName> common;
  std::copy_if(one.begin(), one.end(), std::back_inserter(common), [&](const RegionName& region) {
    return std::find(other.begin(), other.end(), region) != other.end();
  });
  if (common.empty()) return std::nullopt;
  return common;
}

}  // namespace heatherspan
