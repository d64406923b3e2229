#pragma once

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
  /// Writes to standard error.
  explicit EventLog(LogLevel threshold);
  /// Writes to the stream, without a time stamp; for tests.
  EventLog(LogLevel threshold, std::ostream& stream);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  auto operator=(const EventLog&) -> EventLog& = delete;

  auto Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
      -> void;
  auto IsEnabled(LogLevel level) const -> bool { return level >= threshold_; }

 private:
  class Impl;
  LogLevel threshold_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
