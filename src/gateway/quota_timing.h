#pragma once

#include <algorithm>
#include <cstddef>

#include "base/time.h"

namespace heatherspan {

/// How often entry VMs exchange messages about quotas. The larger the fleet, the less often, so
/// that one keeper can answer all VMs.
struct QuotaTiming {
  Duration interval{};       ///< Between exchanges of a VM with requests.
  Duration idle_interval{};  ///< Between exchanges that only renew the loan.
  Duration min_gap{};        ///< Between any two exchanges of a VM.
  Duration max_wait{};       ///< Of a request for a token; one exchange may fail meanwhile.
  Duration token_life{};
  Duration loan_time{};  ///< From the keeper's stamp on.

  static auto For(std::size_t vm_count) -> QuotaTiming {
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    const auto count = static_cast<std::int64_t>(vm_count);
    QuotaTiming timing;
    timing.interval =
        std::clamp<Duration>(microseconds(2500) * count, milliseconds(250), milliseconds(750));
    timing.idle_interval = timing.interval + timing.interval / 2;
    timing.min_gap =
        std::clamp<Duration>(microseconds(800) * count, milliseconds(60), milliseconds(500));
    timing.max_wait = timing.min_gap + milliseconds(540);
    timing.token_life = timing.interval + milliseconds(150);
    timing.loan_time = 4 * timing.interval;
    return timing;
  }
};

}  // namespace heatherspan
