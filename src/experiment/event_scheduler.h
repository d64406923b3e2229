#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// Runs tasks in virtual time, in the order of their times. Tasks of the same time run in the order
/// in which they were scheduled.
class EventScheduler {
 public:
  using Task = std::function<void()>;

  explicit EventScheduler(MonotonicTime start) : now_(start) {}

  auto now() const -> MonotonicTime { return now_; }
  auto RunAfter(Duration delay, Task task) -> void {
    tasks_.push({now_ + delay, next_++, std::move(task)});
  }
  /// Runs all tasks that are due by `end` and sets the time to `end`.
  auto RunUntil(MonotonicTime end) -> void {
    while (!tasks_.empty() && tasks_.top().at <= end) {
      auto task = tasks_.top().task;
      now_ = tasks_.top().at;
      tasks_.pop();
      task();
    }
    now_ = end;
  }

 private:
  struct Entry {
    MonotonicTime at;
    std::uint64_t number;
    Task task;
    auto operator<(const Entry& other) const -> bool {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  MonotonicTime now_;
  std::uint64_t next_ = 0;
  std::priority_queue<Entry> tasks_;
};

}  // namespace heatherspan
