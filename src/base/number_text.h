#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace heatherspan {

/// Parses the whole text as a decimal number; nothing may stand before or after it.
template <class Number>
auto ParseNumber(std::string_view text) -> std::optional<Number> {
  Number number{};
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

}  // namespace heatherspan
