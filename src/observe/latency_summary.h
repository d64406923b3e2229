#pragma once

#include <array>
#include <cstdint>
#include <memory>

#include "base/time.h"

namespace heatherspan {

/// Count, sum and estimated quantiles of a stream of durations. Not thread-safe.
class LatencySummary {
 public:
  static constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary&&) noexcept;
  auto operator=(LatencySummary&&) noexcept -> LatencySummary&;

  auto Add(Duration value) -> void;
  auto count() const -> std::uint64_t;
  auto sum_seconds() const -> double;
  /// The estimate for kQuantiles[index]; 0 if no value has been added.
  auto quantile_seconds(std::size_t index) const -> double;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
