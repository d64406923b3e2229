#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heatherspan {

/// Returns the word with the smallest edit distance to the given one; empty when no word is close.
auto NearestWord(std::string_view word, const std::vector<std::string>& words) -> std::string;

}  // namespace heatherspan
