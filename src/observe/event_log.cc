#include "observe/event_log.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <limits>
#include <thread>
#include <utility>

#include "observe/log_rate_limiter.h"

namespace heatherspan {
namespace {

// The timestamp is in RFC 3339 format, in UTC, with milliseconds.
constexpr const char* kLinePattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";

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
    // Control characters in values from callers could forge log lines.
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
  /// Writes synchronously in the calling thread.
  explicit Impl(spdlog::sink_ptr sink)
      : logger(std::make_shared<spdlog::logger>("heatherspan", std::move(sink))),
        rate_limiter_(std::numeric_limits<int>::max()) {
    Configure();
  }

  Impl(spdlog::sink_ptr sink, int lines_per_second)
      : pool(std::make_shared<spdlog::details::thread_pool>(kQueueLines, 1)),
        logger(std::make_shared<spdlog::async_logger>(
            "heatherspan", std::move(sink), pool, spdlog::async_overflow_policy::overrun_oldest)),
        rate_limiter_(lines_per_second) {
    Configure();
  }

  auto Log(LogLevel level, const std::string& line) -> void {
    const auto decision = rate_limiter_.Acquire(std::chrono::steady_clock::now(), DroppedLines());
    if (!decision.notice.empty()) logger->log(spdlog::level::warn, decision.notice);
    if (decision.write) logger->log(SpdlogLevel(level), line);
  }

  std::shared_ptr<spdlog::details::thread_pool> pool;  ///< Null if the calling thread writes.
  std::shared_ptr<spdlog::logger> logger;

 private:
  auto Configure() -> void {
    logger->set_level(spdlog::level::trace);
    if (pool == nullptr) logger->flush_on(spdlog::level::info);
  }

  auto DroppedLines() const -> std::size_t { return pool == nullptr ? 0 : pool->overrun_counter(); }

  LogRateLimiter rate_limiter_;
};

EventLog::EventLog(LogLevel threshold, int lines_per_second) : threshold_(threshold) {
  // Line buffering: one write per line.
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  impl_ =
      std::make_unique<Impl>(std::make_shared<spdlog::sinks::stdout_sink_mt>(), lines_per_second);
  impl_->logger->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(kLinePattern, spdlog::pattern_time_type::utc));
}

EventLog::EventLog(LogLevel threshold, std::ostream& stream)
    : threshold_(threshold),
      impl_(std::make_unique<Impl>(std::make_shared<spdlog::sinks::ostream_sink_mt>(stream))) {
  impl_->logger->set_pattern("%v");
}

auto EventLog::Drain() -> void {
  if (impl_->pool == nullptr) return;
  constexpr auto kMaxWait = std::chrono::milliseconds(200);
  constexpr auto kPollInterval = std::chrono::milliseconds(5);
  const auto end = std::chrono::steady_clock::now() + kMaxWait;
  while (impl_->pool->queue_size() > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  // The last line that the thread took from the queue may not be written yet.
  std::this_thread::sleep_for(kPollInterval);
}

EventLog::~EventLog() = default;

auto EventLog::Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    -> void {
  Write(level, event, std::span(fields.begin(), fields.size()));
}

auto EventLog::Write(LogLevel level, std::string_view event, std::span<const LogField> fields)
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
  impl_->Log(level, line);
}

}  // namespace heatherspan
