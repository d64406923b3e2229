#pragma once

#include <algorithm>

#include "base/time.h"

namespace heatherspan {

/// What a process does with new requests after it has been told to stop. It is killed at the end of
/// the grace.
struct StopPlan {
  Duration serve{};     ///< Requests that arrive later are refused; other VMs are listed by then.
  Duration complete{};  ///< A request is accepted only if it is predicted to end within this time.

  static auto For(Duration grace) -> StopPlan {
    constexpr int kParts = 10;
    constexpr int kServeParts = 4;
    constexpr int kCompleteParts = 9;
    return {std::min<Duration>(grace * kServeParts / kParts, kMaxServe),
            grace * kCompleteParts / kParts};
  }

  /// Predictions are inexact. A request that is accepted later than this and takes longer than
  /// predicted would be broken off as work that began after the announcement.
  static constexpr Duration kMaxServe = std::chrono::milliseconds(2800);
};

}  // namespace heatherspan
