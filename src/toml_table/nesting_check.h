#pragma once

#include <optional>
#include <string_view>

#include "toml_table/toml_position.h"

namespace heatherspan {

/// The place where a TOML text nests arrays, tables or dotted keys deeper than any known key needs.
/// toml++ 3.3 limits nested values but not dotted keys, and frees tables recursively, so that a
/// key of 100,000 parts would exhaust the stack.
auto FindDeepNesting(std::string_view text) -> std::optional<TomlPosition>;

}  // namespace heatherspan
