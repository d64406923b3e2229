#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>

namespace heatherspan {

/// Bounds the lines that a process logs in a second. Thread-safe.
class LineBudget {
 public:
  struct Answer {
    bool write = true;
    std::string notice;  ///< A line that says how many were left out; empty if none were.
  };

  explicit LineBudget(int lines_per_second) : lines_per_second_(lines_per_second) {}

  /// `lost` is the number of lines that were written but never reached the output, so far.
  auto Take(std::chrono::steady_clock::time_point now, std::size_t lost) -> Answer;

 private:
  const int lines_per_second_;
  std::mutex mutex_;
  std::chrono::steady_clock::time_point second_began_{};
  int written_ = 0;
  std::size_t suppressed_ = 0;
  std::size_t reported_lost_ = 0;
};

}  // namespace heatherspan
