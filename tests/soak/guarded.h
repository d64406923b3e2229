#pragma once

#include <mutex>
#include <utility>

namespace heatherspan {

/// A value that several threads use, one at a time.
template <class T>
class Guarded {
 public:
  template <class... Arguments>
  explicit Guarded(Arguments&&... arguments) : value_(std::forward<Arguments>(arguments)...) {}

  template <class Function>
  auto With(Function function) -> decltype(auto) {
    const std::lock_guard lock(mutex_);
    return function(value_);
  }

 private:
  std::mutex mutex_;
  T value_;
};

}  // namespace heatherspan
