#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heatherspan {

/// The word with the fewest single-character edits to the given one; empty when none is close.
auto NearestWord(std::string_view word, const std::vector<std::string>& words) -> std::string;

}  // namespace heatherspan
