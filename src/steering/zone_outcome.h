#pragma once

namespace heatherspan {

/// How a request that was sent to a zone ended, as the first node saw it.
enum class ZoneOutcome {
  kAnswered,
  kRefused,  ///< "Not run", for example overload or region-cap.
  kFailed,   ///< No verdict: peer unreachable, timeout, connection lost.
};

}  // namespace heatherspan
