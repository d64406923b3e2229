#include "caps/share_lease.h"

namespace heatherspan {
namespace {

// The margin covers clocks that drift by up to 5% each, and the granularity of timers.
constexpr int kMarginPercent = 10;
constexpr Duration kMargin = std::chrono::milliseconds(200);

}  // namespace

auto HolderLifetime(Duration lifetime) -> Duration {
  return lifetime * (100 - kMarginPercent) / 100 - kMargin;
}

auto GrantorLifetime(Duration lifetime) -> Duration {
  return lifetime * (100 + kMarginPercent) / 100 + kMargin;
}

}  // namespace heatherspan
