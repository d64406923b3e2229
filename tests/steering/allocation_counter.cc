#include "allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocations = 0;

}  // namespace

auto operator new(std::size_t size) -> void* {
  ++allocations;
  auto* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

auto operator delete(void* memory) noexcept -> void { std::free(memory); }
auto operator delete(void* memory, std::size_t) noexcept -> void { std::free(memory); }

namespace heatherspan {

auto AllocationCount() -> std::size_t { return allocations; }

}  // namespace heatherspan
