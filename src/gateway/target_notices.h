#pragma once

#include <optional>
#include <string>

#include "base/time.h"

namespace heatherspan {

/// What a target says of itself in an answer, whatever the answer is.
struct TargetNotices {
  bool leaving = false;  ///< It is about to stop and must get no new requests.
  /// It wants nothing from this node for so long.
  std::optional<Duration> pause = std::nullopt;
  std::string malformed;  ///< A notice that can't be read, for the log.
};

}  // namespace heatherspan
