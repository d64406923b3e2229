#pragma once

#include <cstddef>

namespace heatherspan {

/// The calls of operator new in this program so far. Linking the .cc file replaces operator new.
auto AllocationCount() -> std::size_t;

}  // namespace heatherspan
