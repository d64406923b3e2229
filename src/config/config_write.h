#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace heatherspan {

/// The metadata of a write of a configuration.
struct ConfigWrite {
  std::string write_id;        ///< Unique per operation; makes a repeated write idempotent.
  ConfigVersion base_version;  ///< The version on which the operator based the change.
  std::string author;
  std::string reason;
  std::int64_t time_unix_ms = 0;
};

}  // namespace heatherspan
