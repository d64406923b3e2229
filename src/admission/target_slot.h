#pragma once

#include <cstdint>
#include <memory>

#include "base/ids.h"
#include "base/time.h"
#include "document/target.h"

namespace heatherspan {

/// Permission to send one request to a target. The slot must be released with TargetPool::Release.
/// A second release of the same slot has no effect.
struct TargetSlot {
  ServiceName service;
  std::shared_ptr<const Target> target;  ///< Remains valid after the target is removed.
  std::uint64_t sequence = 0;
  MonotonicTime acquired;
};

}  // namespace heatherspan
