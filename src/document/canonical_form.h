#pragma once

#include <string_view>

namespace heatherspan {

/// The first line. The number changes only when older versions must reject the text.
inline constexpr std::string_view kCanonicalFirstLine = "heatherspan-document 1";
/// The last line; a text without this line is truncated.
inline constexpr std::string_view kCanonicalLastLine = "[end]";

}  // namespace heatherspan
