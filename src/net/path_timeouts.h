#pragma once

#include "base/time.h"

namespace heatherspan {

/// Lets the operating system find out that the peer's machine has gone, which closes no connection:
/// the socket fails once written bytes have not been acknowledged, or probes of an idle connection
/// not been answered, for the timeout. A user timeout that is set also decides when the probes give
/// up, whatever their number.
auto SetPathTimeouts(int descriptor, Duration timeout) -> void;

}  // namespace heatherspan
