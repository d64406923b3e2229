#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "document/document.h"

namespace heatherspan {

/// The form in which documents are stored and spread: one line for each record, with
/// tab-separated values under a line that names the columns. Equal documents have equal text. The
/// document must be free of faults.
auto WriteCanonical(const Document& document) -> std::string;

/// Reads and checks a canonical text; the result equals the document that was written. Columns that
/// an older version did not write get their defaults.
auto ReadCanonical(std::string_view text) -> absl::StatusOr<Document>;

/// Whether the text starts like a canonical one.
auto IsCanonical(std::string_view text) -> bool;

}  // namespace heatherspan
