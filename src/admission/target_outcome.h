#pragma once

namespace heatherspan {

/// The outcome of one request to a target.
enum class TargetOutcome {
  kAnswered,         ///< A complete response that is neither a refusal nor a server error.
  kServerError,      ///< A complete response with a status of 500 or more that is not a refusal.
  kShed,             ///< 503 with Target-Refused: shed.
  kDraining,         ///< 503 with Target-Refused: draining.
  kDeadlineRefused,  ///< 503 with Target-Refused: deadline.
  kConnectFailed,
  kConnectionLost,  ///< Includes truncated responses.
  kTimeout,
  kCancelled,  ///< Cancelled by the caller; no evidence about the target.
};

}  // namespace heatherspan
