#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// Counts the requests of one service and client region, and the regions that they were sent to,
/// over the last interval and the one before it. Time advances in steps of 1/64 of the interval.
class ShiftHistory {
 public:
  static constexpr std::size_t kBins = 64;  ///< Per interval.

  ShiftHistory(std::size_t regions, std::size_t client_region, Duration interval,
               MonotonicTime now);

  /// Advances the bins to `now`.
  auto Advance(MonotonicTime now) -> void;
  auto AddRequest() -> void;
  auto AddSent(std::size_t region) -> void;

  /// Keeps the counts in their bins, so that the fractions stay the same across a change of the
  /// interval.
  auto SetInterval(Duration interval) -> void;
  auto GrowRegions(std::size_t regions) -> void;

  auto requests() const -> std::uint32_t { return current_.requests; }
  auto sent(std::size_t region) const -> std::uint32_t { return current_.sent[region]; }

  /// The fraction sent to the region in the interval before the current one. Requests that were not
  /// sent count for the client region, since they have not been shifted. Thus refusals of any kind
  /// do not limit later traffic to the client region.
  auto PreviousFraction(std::size_t region) const -> double;

  /// The fraction sent to the region one interval ago, measured over the quarter of an interval
  /// around that time. With too few requests in this quarter, the same as PreviousFraction.
  auto FractionOneIntervalAgo(std::size_t region) const -> double;

 private:
  struct Counts {
    std::uint32_t requests = 0;
    std::vector<std::uint32_t> sent;  ///< By region.
  };

  auto Step() -> void;
  auto Bin(std::size_t back) -> Counts&;
  auto FractionOf(const Counts& counts, std::size_t region) const -> double;
  static auto Add(Counts& to, const Counts& counts) -> void;
  static auto Subtract(Counts& from, const Counts& counts) -> void;
  static auto Clear(Counts& counts) -> void;

  std::size_t client_region_;
  Duration bin_length_;
  MonotonicTime bin_start_;
  std::size_t head_ = 0;
  std::vector<Counts> bins_;
  Counts current_;
  Counts previous_;
  Counts boundary_;  ///< The quarter of an interval around the end of the previous one.
};

}  // namespace heatherspan
