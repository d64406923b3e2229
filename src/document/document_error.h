#pragma once

#include "toml_table/toml_error.h"

namespace heatherspan {

/// An error in a document; Text() has the form FILE:LINE:COL: message.
using DocumentError = TomlError;

}  // namespace heatherspan
