#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "document/document.h"

namespace heatherspan {

/// Returns the canonical text, the form in which documents are stored and distributed: one line for
/// each record, with tab-separated values under a header line that names the columns. Equal
/// documents have equal texts. The document must be valid.
auto WriteCanonical(const Document& document) -> std::string;

/// Reads and checks a canonical text. The result equals the document that was written. A value
/// whose column is missing, since an older version wrote the text, gets its default.
auto ReadCanonical(std::string_view text) -> absl::StatusOr<Document>;

/// Returns whether the text starts with the first line of a canonical text.
auto IsCanonical(std::string_view text) -> bool;

}  // namespace heatherspan
