#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// The names, joined by commas.
inline auto RegionsText(const std::vector<RegionName>& regions) -> std::string {
  std::string text;
  for (const auto& region : regions) {
    if (!text.empty()) text += ',';
    text += region.value();
  }
  return text;
}

}  // namespace heatherspan
