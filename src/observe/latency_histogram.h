#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace heatherspan {

/// Counts durations in buckets. Unlike quantiles, bucket counts can be summed over processes and
/// over time. Not thread-safe.
class LatencyHistogram {
 public:
  /// Upper bounds in seconds, from a hop inside a zone to the longest route timeout.
  static constexpr std::array<double, 11> kBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                     0.5,   1,    2.5,   5,    10};

  auto Add(Duration value) -> void;
  /// Number of durations that are at most kBounds[index].
  auto CountUpTo(std::size_t index) const -> std::uint64_t;

 private:
  std::array<std::uint64_t, kBounds.size()> counts_{};  ///< Per bucket, not cumulative.
};

}  // namespace heatherspan
