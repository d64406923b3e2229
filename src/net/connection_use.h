#pragma once

#include <chrono>
#include <cstdint>
#include <limits>

namespace heatherspan {

/// Whether a connection of a server handles requests, and since when it waits for one.
class ConnectionUse {
 public:
  using Clock = std::chrono::steady_clock;

  /// No whole request has come yet.
  static auto NeverUsed(Clock::time_point since) -> ConnectionUse {
    return ConnectionUse(Ticks(since) * 2);
  }
  static auto IdleSince(Clock::time_point since) -> ConnectionUse {
    return ConnectionUse(Ticks(since) * 2 + 1);
  }
  static auto Busy() -> ConnectionUse {
    return ConnectionUse(std::numeric_limits<std::int64_t>::max());
  }

  auto is_busy() const -> bool { return *this == Busy(); }
  auto was_used() const -> bool { return code_ % 2 != 0; }
  auto since() const -> Clock::time_point { return Clock::time_point(Clock::duration(code_ / 2)); }
  auto operator==(const ConnectionUse&) const -> bool = default;

 private:
  explicit ConnectionUse(std::int64_t code) : code_(code) {}

  static auto Ticks(Clock::time_point time) -> std::int64_t {
    return time.time_since_epoch().count();
  }

  std::int64_t code_;  ///< One number, so that it can be atomic.
};

}  // namespace heatherspan
