#pragma once

#include <functional>

#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// Returns the rate that this node may admit to its region at the given time. Acquires the caps
/// lock, so the caller must not hold the admission lock.
using ShareSource = std::function<RequestsPerSecond(MonotonicTime now)>;

}  // namespace heatherspan
