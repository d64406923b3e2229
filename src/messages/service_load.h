#pragma once

#include <cstdint>

#include "base/ids.h"

namespace heatherspan {

/// The load of one service at the executing entry VM, or summed over its availability zone.
struct ServiceLoad {
  ServiceName service;
  std::uint32_t usable_slots = 0;
  std::uint32_t used_slots = 0;
  std::uint32_t queued = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(service, usable_slots, used_slots, queued);
  }
};

}  // namespace heatherspan
