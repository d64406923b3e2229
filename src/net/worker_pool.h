#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace heatherspan {

/// The threads that run every handler, timer and socket of the process.
class WorkerPool {
 public:
  using Task = std::function<void()>;

  /// Cancels its task when destroyed, unless the task has started.
  class Timer;

  explicit WorkerPool(std::size_t threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  auto operator=(const WorkerPool&) -> WorkerPool& = delete;

  auto Post(Task task) -> void;
  auto Now() const -> MonotonicTime { return SystemClock().Now(); }
  /// Runs the task once after the delay.
  [[nodiscard]] auto RunAfter(Duration delay, Task task) -> std::shared_ptr<Timer>;
  /// Runs the task at each interval until the timer is destroyed. The runs don't overlap.
  [[nodiscard]] auto RunEvery(Duration interval, Task task) -> std::shared_ptr<Timer>;
  /// Stops the threads and drops what they have not run.
  auto Stop() -> void;

  auto context() -> boost::asio::io_context&;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
