#include "allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocations = 0;

}  // namespace

// Replaces all forms without alignment. A form that is left out may come from another allocator,
// such as that of a sanitizer, and would not match free().

auto operator new(std::size_t size, const std::nothrow_t&) noexcept -> void* {
  ++allocations;
  return std::malloc(size == 0 ? 1 : size);
}
auto operator new(std::size_t size) -> void* {
  auto* memory = operator new(size, std::nothrow);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
auto operator new[](std::size_t size) -> void* { return operator new(size); }
auto operator new[](std::size_t size, const std::nothrow_t& tag) noexcept -> void* {
  return operator new(size, tag);
}

auto operator delete(void* memory) noexcept -> void { std::free(memory); }
auto operator delete(void* memory, std::size_t) noexcept -> void { std::free(memory); }
auto operator delete(void* memory, const std::nothrow_t&) noexcept -> void { std::free(memory); }
auto operator delete[](void* memory) noexcept -> void { std::free(memory); }
auto operator delete[](void* memory, std::size_t) noexcept -> void { std::free(memory); }
auto operator delete[](void* memory, const std::nothrow_t&) noexcept -> void { std::free(memory); }

namespace heatherspan {

auto AllocationCount() -> std::size_t { return allocations; }

}  // namespace heatherspan
