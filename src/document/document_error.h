#pragma once

#include "toml_table/toml_error.h"

namespace heatherspan {

/// One fault of a document's text; its text has the form FILE:LINE:COL: message.
using DocumentError = TomlError;

}  // namespace heatherspan
