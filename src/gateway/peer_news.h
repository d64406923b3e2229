#pragma once

#include <cstdint>
#include <vector>

#include "gateway/crash_report.h"
#include "gateway/limit_report.h"

namespace heatherspan {

/// What entry VMs tell each other beside the changes of the store, in questions and answers.
struct PeerNews {
  std::vector<LimitReport> limits;
  std::vector<CrashReport> crashes;
  std::uint64_t crash_checksum = 0;  ///< Of all crashes that the sender would tell.

  friend auto operator==(const PeerNews&, const PeerNews&) -> bool = default;
};

}  // namespace heatherspan
