#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace heatherspan {

/// Hands events from workers to the test; the limit only ends a test that would hang.
template <class T>
class BlockingQueue {
 public:
  auto Push(T value) -> void {
    const std::lock_guard lock(mutex_);
    values_.push_back(std::move(value));
    changed_.notify_all();
  }

  auto Pop() -> std::optional<T> {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, std::chrono::seconds(10), [this] { return !values_.empty(); })) {
      return std::nullopt;
    }
    std::optional<T> value(std::move(values_.front()));
    values_.pop_front();
    return value;
  }

  auto size() -> std::size_t {
    const std::lock_guard lock(mutex_);
    return values_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<T> values_;
};

}  // namespace heatherspan
