#pragma once

#include <string>
#include <string_view>

#include "toml_table/toml_error.h"
#include "toml_table/toml_value.h"

namespace heatherspan {

/// Parses a TOML text. After a syntax error, which is added to `errors`, the result is an empty
/// table.
auto ParseToml(std::string_view text, const std::string& file, TomlErrors& errors) -> TomlValue;

}  // namespace heatherspan
