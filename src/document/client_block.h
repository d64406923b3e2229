#pragma once

#include <chrono>

#include "base/ids.h"
#include "base/ip_block.h"
#include "base/time.h"

namespace heatherspan {

/// A block of client addresses and the availability zone nearest to these clients.
struct ClientBlock {
  IpBlock block;
  ZoneName zone;
  Duration one_way = std::chrono::milliseconds(8);  ///< Key one_way_ms.

  friend auto operator==(const ClientBlock&, const ClientBlock&) -> bool = default;
};

}  // namespace heatherspan
