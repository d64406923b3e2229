#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "base/task_runner.h"
#include "base/time.h"

namespace heatherspan {

/// Runs the tasks of one simulated process in virtual time.
class VirtualWorkers {
 public:
  using Task = std::function<void()>;

  /// Cancels its task when destroyed, unless the task has started.
  class Timer {
   public:
    explicit Timer(Task task) : task_(std::move(task)) {}
    auto Run() -> void { std::exchange(task_, nullptr)(); }

   private:
    Task task_;
  };

  /// `schedule` runs a task after a delay, as the process does: later while it is frozen, and never
  /// once it has ended.
  VirtualWorkers(std::function<MonotonicTime()> now, std::function<void(Duration, Task)> schedule)
      : now_(std::move(now)), schedule_(std::move(schedule)) {}

  auto Now() const -> MonotonicTime { return now_(); }
  [[nodiscard]] auto RunAfter(Duration delay, Task task) -> std::shared_ptr<Timer> {
    auto timer = std::make_shared<Timer>(std::move(task));
    schedule_(delay, [weak = std::weak_ptr(timer)] {
      if (const auto locked = weak.lock()) locked->Run();
    });
    return timer;
  }

 private:
  const std::function<MonotonicTime()> now_;
  const std::function<void(Duration, Task)> schedule_;
};

static_assert(TaskRunner<VirtualWorkers>);

}  // namespace heatherspan
