#include "experiment/load_outcome.h"

#include <algorithm>

namespace heatherspan {

auto LoadOutcome::Between(int from, int to) const -> RequestCounts {
  RequestCounts sum;
  const int end = std::min<int>(to, static_cast<int>(by_second.size()));
  for (int second = from; second < end; ++second) {
    const auto& counts = by_second[second];
    sum.submitted += counts.submitted;
    sum.in_time += counts.in_time;
    sum.late += counts.late;
    sum.refused += counts.refused;
    sum.failed += counts.failed;
  }
  return sum;
}

auto LoadOutcome::WorstZoneInTimeFraction() const -> double {
  double worst = 1;
  for (const auto& [zone, counts] : by_zone) worst = std::min(worst, counts.InTimeFraction());
  return worst;
}

}  // namespace heatherspan
