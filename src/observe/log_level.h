#pragma once

#include <optional>
#include <string_view>

namespace heatherspan {

/// The severity of an event.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Parses "debug", "info", "warning" or "error".
auto ParseLogLevel(std::string_view text) -> std::optional<LogLevel>;

}  // namespace heatherspan
