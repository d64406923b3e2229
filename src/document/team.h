#pragma once

#include <string>

#include "base/ids.h"

namespace heatherspan {

/// A team that shares the platform.
struct Team {
  TeamName name;
  double weight = 1;  ///< The team's part of the queue under overload, relative to other teams.
  std::string credential_sha256;  ///< Hexadecimal; empty gives no administration rights.

  friend auto operator==(const Team&, const Team&) -> bool = default;
};

}  // namespace heatherspan
