#pragma once

#include <concepts>
#include <functional>
#include <memory>

#include "base/time.h"

namespace heatherspan {

/// Runs tasks later, and tells the time by which it does so. Destroying the timer cancels a task
/// that has not started.
template <class T>
concept TaskRunner = requires(T& runner, Duration delay, std::function<void()> task) {
  { runner.RunAfter(delay, task) } -> std::same_as<std::shared_ptr<typename T::Timer>>;
  { runner.Now() } -> std::same_as<MonotonicTime>;
};

}  // namespace heatherspan
