#pragma once

#include <optional>
#include <string_view>

#include "toml_table/toml_position.h"

namespace heatherspan {

/// Returns the first position where a TOML text has more than 16 open brackets or more than 16 dots
/// in a key; no known key needs as many. toml++ 3.3 limits nested values but not dotted keys, and
/// frees tables recursively, so that a key of 100,000 parts would exhaust the stack.
auto FindDeepNesting(std::string_view text) -> std::optional<TomlPosition>;

}  // namespace heatherspan
