#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>

#include "base/time.h"

namespace heatherspan {

/// Until when a connection of a server may take for its present read and write. Set by the
/// connection's strand; Overdue may be called by any thread.
class ConnectionDeadlines {
 public:
  using Clock = std::chrono::steady_clock;

  auto SetRead(Duration delay) -> void { Set(read_, Clock::now() + delay); }
  auto ClearRead() -> void { Set(read_, Clock::time_point::max()); }
  auto SetWrite(Duration delay) -> void { Set(write_, Clock::now() + delay); }
  auto ClearWrite() -> void { Set(write_, Clock::time_point::max()); }
  auto Clear() -> void {
    ClearRead();
    ClearWrite();
  }

  auto ReadOverdue(Clock::time_point now) const -> bool { return read_ <= now; }
  auto WriteOverdue(Clock::time_point now) const -> bool { return write_ <= now; }
  auto Overdue(Clock::time_point now) const -> bool {
    return first_.load(std::memory_order_relaxed) <= now.time_since_epoch().count();
  }

 private:
  auto Set(Clock::time_point& deadline, Clock::time_point value) -> void {
    deadline = value;
    first_.store(std::min(read_, write_).time_since_epoch().count(), std::memory_order_relaxed);
  }

  Clock::time_point read_ = Clock::time_point::max();
  Clock::time_point write_ = Clock::time_point::max();
  std::atomic<std::int64_t> first_{std::numeric_limits<std::int64_t>::max()};
};

}  // namespace heatherspan
