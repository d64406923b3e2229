#pragma once

namespace heatherspan {

/// How a request to a target ended.
enum class TargetOutcome {
  kAnswered,         ///< A complete response other than a refusal or a server error.
  kServerError,      ///< A complete response with a status of 500 or more that is no refusal.
  kShed,             ///< 503 with Target-Refused: shed.
  kDraining,         ///< 503 with Target-Refused: draining.
  kDeadlineRefused,  ///< 503 with Target-Refused: deadline.
  kConnectFailed,
  kConnectionLost,  ///< Also a truncated response.
  kTimeout,
  kCancelled,  ///< By the caller; says nothing about the target.
};

}  // namespace heatherspan
