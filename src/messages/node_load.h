#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "messages/service_load.h"

namespace heatherspan {

/// What a node reports of the targets that it owns.
struct NodeLoad {
  ZoneName zone;
  InstanceId instance;
  std::vector<ServiceLoad> services;
  std::uint32_t share_used_percent = 0;  ///< Use of the cap share over the last second.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(zone, instance, services, share_used_percent);
  }
};

}  // namespace heatherspan
