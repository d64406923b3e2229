#pragma once

#include <string_view>

#include "document/document.h"
#include "toml_table/toml_error.h"

namespace heatherspan {

/// Reads and checks a canonical text and adds what is wrong to the errors.
auto ReadCanonicalText(std::string_view text, TomlErrors& errors) -> Document;

}  // namespace heatherspan
