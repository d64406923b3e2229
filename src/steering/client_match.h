#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// The client block that an address belongs to.
struct ClientMatch {
  const ZoneName* zone = nullptr;     ///< Owned by the client map.
  std::size_t client_zone_index = 0;  ///< Index in ClientMap::zones().
  std::uint64_t block_hash = 0;       ///< Identical on all nodes.
  Duration one_way{};
};

}  // namespace heatherspan
