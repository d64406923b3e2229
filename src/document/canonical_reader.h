#pragma once

#include <string_view>

#include "document/document.h"
#include "toml_table/toml_error.h"

namespace heatherspan {

/// Reads and checks a canonical text. Adds each error found to `errors`.
auto ReadCanonicalText(std::string_view text, TomlErrors& errors) -> Document;

}  // namespace heatherspan
