#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>

namespace heatherspan {

/// Limits the number of log lines per second. Thread-safe.
class LogRateLimiter {
 public:
  struct Decision {
    bool write = true;
    std::string notice;  ///< Log line with the number of omitted lines; empty if there are none.
  };

  explicit LogRateLimiter(int lines_per_second) : lines_per_second_(lines_per_second) {}

  /// `dropped` is the total number of lines so far that were logged but dropped before they reached
  /// the output.
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
