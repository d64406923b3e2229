#pragma once

#include <optional>
#include <string>
#include <vector>

#include "document/document.h"
#include "document/document_path.h"

namespace heatherspan {

/// An error that concerns more than one value of a document.
struct CheckError {
  DocumentPath path;
  std::string message;
  std::optional<DocumentPath> first;  ///< The earlier value that conflicts with this value.
};

/// Checks references, duplicates, overlaps, links and connection limits. The ranges of single
/// values are checked when they are read.
auto CheckDocument(const Document& document) -> std::vector<CheckError>;

}  // namespace heatherspan
