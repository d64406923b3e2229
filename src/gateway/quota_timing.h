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
  Duration token_life{};
  Duration loan_time{};  ///< From the keeper's stamp on.

  static auto For(std::size_t vm_count) -> QuotaTiming {
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    const auto count = static_cast<std::int64_t>(vm_count);
    QuotaTiming timing;
    timing.interval =
        std::clamp<Duration>(microseconds(2500) * count, milliseconds(250), milliseconds(1000));
    timing.idle_interval = timing.interval + timing.interval / 2;
    timing.min_gap =
        std::clamp<Duration>(microseconds(800) * count, milliseconds(60), milliseconds(500));
    timing.token_life = timing.interval + milliseconds(150);
    timing.loan_time = 5 * timing.interval;
    return timing;
  }
};

}  // namespace heatherspan
