#pragma once

#include <string>
#include <vector>

#include "document/document.h"

namespace heatherspan {

/// Returns one line for each record that was added, removed or changed, with the keys that differ.
/// The order of records is ignored.
auto DiffDocuments(const Document& before, const Document& after) -> std::vector<std::string>;

}  // namespace heatherspan
