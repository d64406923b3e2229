#pragma once

#include "base/time.h"

namespace heatherspan {

/// Whether a request of a team is within its quota.
struct TeamQuotaRuling {
  bool admitted = true;
  Duration retry_after{};  ///< If it is not admitted: until the quota is likely to have room.
  /// If it is admitted: until when it counts for another request if this one does not run.
  MonotonicTime usable_until{};
};

}  // namespace heatherspan
