#pragma once

#include <cstddef>

namespace heatherspan {

/// The number of calls of operator new in this program. Linking allocation_counter.cc replaces
/// operator new.
auto AllocationCount() -> std::size_t;

}  // namespace heatherspan
