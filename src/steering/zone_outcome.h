#pragma once

namespace heatherspan {

/// The end of a request that was sent to a zone, as the receiving entry VM observes it.
enum class ZoneOutcome {
  kAnswered,
  kRefused,  ///< Verdict "not run", for example with reason overload or region-cap.
  kFailed,   ///< No verdict: peer unreachable, timeout or connection lost.
};

}  // namespace heatherspan
