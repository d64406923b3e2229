#pragma once

#include <atomic>
#include <cstddef>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <span>
#include <string_view>

#include "observe/log_field.h"
#include "observe/log_level.h"

namespace heatherspan {

/// Logs each event as one line of key=value pairs. Thread-safe.
class EventLog {
 public:
  static constexpr int kDefaultLinesPerSecond = 1000;
  /// Capacity of the queue of unwritten lines. When the queue is full, the oldest line is dropped.
  static constexpr std::size_t kQueueLines = 8192;

  /// Writes to standard output in a separate thread, so that a blocked reader of the output does
  /// not block callers. A separate log line reports the number of lines above the rate limit and of
  /// lines dropped from the queue.
  explicit EventLog(LogLevel threshold, int lines_per_second = kDefaultLinesPerSecond);
  /// Writes to the stream without a timestamp; for tests.
  EventLog(LogLevel threshold, std::ostream& stream);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  auto operator=(const EventLog&) -> EventLog& = delete;

  auto Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
      -> void;
  auto Write(LogLevel level, std::string_view event, std::span<const LogField> fields) -> void;
  auto IsEnabled(LogLevel level) const -> bool { return level >= threshold_.load(); }
  auto SetLevel(LogLevel threshold) -> void { threshold_.store(threshold); }
  /// Waits up to about 200 ms until the queued lines are written.
  auto Drain() -> void;

 private:
  class Impl;
  std::atomic<LogLevel> threshold_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
