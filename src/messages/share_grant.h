#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/units.h"

namespace heatherspan {

/// Grants a leased share. The holder counts the lifetime from the time it sent the request.
struct ShareGrant {
  std::uint64_t sequence = 0;  ///< That of the request.
  InstanceId grantor;
  RegionName region;
  ConfigVersion config_version;
  RequestsPerSecond share;
  std::uint32_t lifetime_ms = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, grantor, region, config_version, share, lifetime_ms);
  }
};

}  // namespace heatherspan
