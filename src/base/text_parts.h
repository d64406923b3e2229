#pragma once

#include <string_view>
#include <utility>
#include <vector>

namespace heatherspan {

/// The parts of a text between separators; one empty part for an empty text.
inline auto SplitText(std::string_view text, char separator) -> std::vector<std::string_view> {
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

/// What stands before and behind the first separator; the second part is empty without one.
inline auto CutText(std::string_view text, char separator)
    -> std::pair<std::string_view, std::string_view> {
  const auto end = text.find(separator);
  if (end == std::string_view::npos) return {text, {}};
  return {text.substr(0, end), text.substr(end + 1)};
}

/// The text without blanks and tabs at its ends.
inline auto TrimText(std::string_view text) -> std::string_view {
  constexpr std::string_view kBlank = " \t";
  const auto begin = text.find_first_not_of(kBlank);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlank) - begin + 1);
}

}  // namespace heatherspan
