#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>

namespace heatherspan {

/// Bounds the lines that a process logs in a second. Thread-safe.
class LogRateLimiter {
 public:
  struct Decision {
    bool write = true;
    std::string notice;  ///< A line that says how many were left out; empty if none were.
  };

  explicit LogRateLimiter(int lines_per_second) : lines_per_second_(lines_per_second) {}

  /// `dropped` is the number of lines that were written but never reached the output, so far.
  auto Acquire(std::chrono::steady_clock::time_point now, std::size_t dropped) -> Decision;

 private:
  const int lines_per_second_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point second_start_{};
  int written_ = 0;
  std::size_t suppressed_ = 0;
  std::size_t reported_dropped_ = 0;
};

}  // namespace heatherspan
