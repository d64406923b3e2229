#include "caps/share_lease.h"

namespace heatherspan {
namespace {

// The margin covers a drift of up to 5% of each clock and the granularity of timers.
constexpr int kLeaseMarginPercent = 10;
constexpr Duration kLeaseMargin = std::chrono::milliseconds(200);

}  // namespace

auto HolderLifetime(Duration lifetime) -> Duration {
  return lifetime * (100 - kLeaseMarginPercent) / 100 - kLeaseMargin;
}

auto GrantorLifetime(Duration lifetime) -> Duration {
  return lifetime * (100 + kLeaseMarginPercent) / 100 + kLeaseMargin;
}

}  // namespace heatherspan
