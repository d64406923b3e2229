#include "observe/event_log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

namespace heatherspan {
namespace {

// The time stamp is RFC 3339 in UTC with milliseconds.
constexpr const char* kPattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";

constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLevels = {{
    {"debug", LogLevel::kDebug},
    {"info", LogLevel::kInfo},
    {"warning", LogLevel::kWarning},
    {"error", LogLevel::kError},
}};

auto SpdlogLevel(LogLevel level) -> spdlog::level::level_enum {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

auto NeedsQuotes(std::string_view value) -> bool {
  return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

auto AppendValue(std::string& line, std::string_view value) -> void {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    // Control characters would allow a caller to forge lines.
    line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  line += '"';
}

}  // namespace

auto ParseLogLevel(std::string_view text) -> std::optional<LogLevel> {
  for (const auto& [name, level] : kLevels) {
    if (name == text) return level;
  }
  return std::nullopt;
}

class EventLog::Impl {
 public:
  explicit Impl(spdlog::sink_ptr sink) : logger("heatherspan", std::move(sink)) {
    logger.set_level(spdlog::level::trace);
    logger.flush_on(spdlog::level::info);
  }

  spdlog::logger logger;
};

EventLog::EventLog(LogLevel threshold)
    : threshold_(threshold),
      impl_(std::make_unique<Impl>(std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
  impl_->logger.set_formatter(
      std::make_unique<spdlog::pattern_formatter>(kPattern, spdlog::pattern_time_type::utc));
}

EventLog::EventLog(LogLevel threshold, std::ostream& stream)
    : threshold_(threshold),
      impl_(std::make_unique<Impl>(std::make_shared<spdlog::sinks::ostream_sink_mt>(stream))) {
  impl_->logger.set_pattern("%v");
}

EventLog::~EventLog() = default;

auto EventLog::Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    -> void {
  if (!IsEnabled(level)) return;
  std::string line = "event=";
  AppendValue(line, event);
  for (const auto& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  impl_->logger.log(SpdlogLevel(level), line);
}

}  // namespace heatherspan
