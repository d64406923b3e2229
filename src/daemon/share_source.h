#pragma once

#include <functional>

#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// The rate that this node may admit to its region now. Takes the caps lock, so it must be called
/// without the admission lock.
using ShareSource = std::function<RequestsPerSecond(MonotonicTime now)>;

}  // namespace heatherspan
