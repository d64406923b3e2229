#pragma once

#include <cstdint>
#include <memory>

#include "base/ids.h"
#include "base/time.h"
#include "document/target.h"

namespace heatherspan {

/// The right to send one request to a target. It must be given back with TargetPool::Release; a
/// second release of the same slot has no effect.
struct TargetSlot {
  ServiceName service;
  std::shared_ptr<const Target> target;  ///< Stays valid when the target is removed.
  std::uint64_t sequence = 0;
  MonotonicTime acquired;
};

}  // namespace heatherspan
