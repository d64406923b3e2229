#pragma once

#include <cstddef>

namespace heatherspan {

/// The memory of the machine, as the system states it.
auto MachineMemoryBytes() -> std::size_t;

/// Has the allocator give large blocks back to the system as soon as they are freed. By default it
/// keeps more and more of them.
auto KeepFreedMemorySmall() -> void;

}  // namespace heatherspan
