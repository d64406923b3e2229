#include "base/process_memory.h"

#include <malloc.h>
#include <unistd.h>

namespace heatherspan {
namespace {

constexpr int kMaxBlockBytes = 128 * 1024;

}  // namespace

auto MachineMemoryBytes() -> std::size_t {
  return static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

auto KeepFreedMemorySmall() -> void {
  // A threshold that is set no longer adapts.
  ::mallopt(M_MMAP_THRESHOLD, kMaxBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMaxBlockBytes);
}

}  // namespace heatherspan
