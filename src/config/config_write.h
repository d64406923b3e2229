#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace heatherspan {

/// Who writes a configuration and why.
struct ConfigWrite {
  std::string write_id;        ///< Unique per operation; a repeat with the same one is harmless.
  ConfigVersion base_version;  ///< The version that the operator saw.
  std::string author;
  std::string reason;
  std::int64_t time_unix_ms = 0;
};

}  // namespace heatherspan
