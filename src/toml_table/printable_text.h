#pragma once

#include <string>
#include <string_view>

namespace heatherspan {

/// Whether the text is valid UTF-8 on one line without control characters.
auto IsPrintableLine(std::string_view text) -> bool;

/// The text with "?" for each control character and each byte that is not valid UTF-8, so that it
/// may stand in a log line, in JSON and on a terminal.
auto PrintableLine(std::string_view text) -> std::string;

}  // namespace heatherspan
