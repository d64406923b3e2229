#pragma once

#include <string>

#include "document/document.h"

namespace heatherspan {

/// Returns the document in the TOML form that operators edit, without comments. Reading this text
/// gives an equal document if the client blocks are sorted by address.
auto WriteToml(const Document& document) -> std::string;

}  // namespace heatherspan
