#pragma once

namespace heatherspan {

/// How heatherspanctl ends.
enum class ExitCode {
  kDone = 0,
  kFailure = 1,
  kUsage = 2,
  kUnsoundDocument = 3,
  kConflict = 4,
  kUnreachable = 5,     ///< Nothing was written.
  kOutcomeUnknown = 6,  ///< A write was sent and its answer was lost.
  kNotAuthorized = 7,
};

}  // namespace heatherspan
