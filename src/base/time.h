#pragma once

#include <chrono>
#include <concepts>

namespace heatherspan {

using Duration = std::chrono::nanoseconds;
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// A source of monotonic and wall-clock time. Decision code takes times as arguments; only code
/// that wires processes together holds a clock.
template <class T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<MonotonicTime>;
  { clock.WallNow() } -> std::same_as<WallTime>;
};

/// The clock of the operating system.
class SystemClock {
 public:
  auto Now() const -> MonotonicTime { return std::chrono::steady_clock::now(); }
  auto WallNow() const -> WallTime { return std::chrono::system_clock::now(); }
};

static_assert(Clock<SystemClock>);

}  // namespace heatherspan
