#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/units.h"

namespace heatherspan {

/// Asks the grantor of a region for a leased share of the cap.
struct ShareRequest {
  std::uint64_t sequence = 0;
  InstanceId holder;
  RegionName region;
  RequestsPerSecond demand;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, holder, region, demand);
  }
};

}  // namespace heatherspan
