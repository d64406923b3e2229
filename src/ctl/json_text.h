#pragma once

#include <string>
#include <string_view>

namespace heatherspan {

/// Text from a server, safe for a terminal: what is not printable becomes "?", but for line feeds.
auto PrintableText(std::string_view text) -> std::string;

/// A JSON text as indented "key: value" lines; other text as it is. The result ends with a line
/// feed unless it is empty.
auto ReadableText(std::string_view text) -> std::string;

/// A JSON text with indentation; other text as {"text": ...}.
auto JsonText(std::string_view text) -> std::string;

}  // namespace heatherspan
