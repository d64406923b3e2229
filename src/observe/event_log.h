#pragma once

#include <atomic>
#include <cstddef>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <string_view>

#include "observe/log_field.h"
#include "observe/log_level.h"

namespace heatherspan {

/// Writes one line of key=value pairs for each event. Thread-safe.
class EventLog {
 public:
  static constexpr int kDefaultLinesPerSecond = 1000;
  /// Lines that wait for the reader of the output; the oldest are lost beyond it.
  static constexpr std::size_t kQueueLines = 8192;

  /// Writes to standard output in a thread of its own: a reader that stops reading holds no caller
  /// up. Lines beyond the rate and lines lost in the queue are counted in a line of their own.
  explicit EventLog(LogLevel threshold, int lines_per_second = kDefaultLinesPerSecond);
  /// Writes to the stream, without a time stamp; for tests.
  EventLog(LogLevel threshold, std::ostream& stream);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  auto operator=(const EventLog&) -> EventLog& = delete;

  auto Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
      -> void;
  auto IsEnabled(LogLevel level) const -> bool { return level >= threshold_.load(); }
  auto SetLevel(LogLevel threshold) -> void { threshold_.store(threshold); }
  /// Waits a short while for the lines that are queued.
  auto Drain() -> void;

 private:
  class Impl;
  std::atomic<LogLevel> threshold_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
