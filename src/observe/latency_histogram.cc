#include "observe/latency_histogram.h"

#include <algorithm>
#include <numeric>

namespace heatherspan {

auto LatencyHistogram::Add(Duration value) -> void {
  const auto seconds = std::chrono::duration<double>(value).count();
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), seconds);
  if (bound != kBounds.end()) ++counts_[static_cast<std::size_t>(bound - kBounds.begin())];
}

auto LatencyHistogram::CountUpTo(std::size_t index) const -> std::uint64_t {
  const auto end = counts_.begin() + static_cast<std::ptrdiff_t>(index) + 1;
  return std::accumulate(counts_.begin(), end, std::uint64_t{0});
}

}  // namespace heatherspan
