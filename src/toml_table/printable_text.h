#pragma once

#include <string>
#include <string_view>

namespace heatherspan {

/// Returns whether the text is one line of valid UTF-8 without control characters.
auto IsPrintableLine(std::string_view text) -> bool;

/// Returns the text with "?" in place of each control character and each byte that is not valid
/// UTF-8. The result is safe in a log line, in JSON and on a terminal.
auto PrintableLine(std::string_view text) -> std::string;

}  // namespace heatherspan
