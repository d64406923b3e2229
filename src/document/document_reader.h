#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "document/document.h"
#include "document/document_error.h"

namespace heatherspan {

/// Reads and checks a document in TOML or in canonical form. Client blocks are sorted by address.
/// The status message has one line for each error.
auto ReadDocument(std::string_view text, const std::string& file) -> absl::StatusOr<Document>;

/// Returns every error of the text, sorted by position; empty for a valid document.
auto ReadDocumentErrors(std::string_view text, const std::string& file)
    -> std::vector<DocumentError>;

}  // namespace heatherspan
