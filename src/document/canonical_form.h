#pragma once

#include <string_view>

namespace heatherspan {

/// The first line. The number changes only when older versions must refuse the text.
inline constexpr std::string_view kCanonicalFirstLine = "heatherspan-document 1";
/// The last line; a text without it was cut off.
inline constexpr std::string_view kCanonicalLastLine = "[end]";

}  // namespace heatherspan
