#pragma once

#include <string>

#include "document/document.h"

namespace heatherspan {

/// The document as operators edit it, without comments. Reading it gives an equal document if the
/// client blocks are in the order of their addresses.
auto WriteToml(const Document& document) -> std::string;

}  // namespace heatherspan
