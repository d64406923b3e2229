#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "document/document.h"
#include "document/document_fault.h"

namespace heatherspan {

/// Reads and checks a document in TOML or in canonical form. Client blocks are put in the order of
/// their addresses. The error has one line for each fault.
auto ReadDocument(std::string_view text, const std::string& file) -> absl::StatusOr<Document>;

/// Every fault of the text, in the order of their places; none for a sound document.
auto ReadDocumentFaults(std::string_view text, const std::string& file)
    -> std::vector<DocumentFault>;

}  // namespace heatherspan
