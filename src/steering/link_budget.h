#pragma once

#include <chrono>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// Limits the traffic of this node on the links between regions. Its rate on a link is the usable
/// capacity divided by the number of live entry VMs in the region of the receiving entry VM. Each
/// direction has a token bucket of its own.
class LinkBudget {
 public:
  /// The burst is the traffic of this time at the full rate, but at least one large response.
  static constexpr Duration kBurstTime = std::chrono::milliseconds(100);
  static constexpr Bytes kMinBurst = Bytes(65'536);

  /// Applies the links and node counts of the view, and keeps the tokens used so far.
  auto Update(const SteeringView& view, MonotonicTime now) -> void;

  /// Reserves the expected bytes of a response that travels from region `to`, which serves the
  /// request, to region `from`, where it was received. The call always succeeds within a region,
  /// and never between regions without a link. In any window of length T, at most rate x T + burst
  /// is reserved, plus one response that is larger than the burst.
  auto TryReserve(const RegionName& from, const RegionName& to, Bytes bytes, MonotonicTime now)
      -> bool;

  /// Replaces the expected size of a reservation by the actual one, when it is known. The excess of
  /// a longer response reduces what later responses can reserve.
  auto CorrectReservation(const RegionName& from, const RegionName& to, Bytes expected,
                          Bytes actual) -> void;

  /// Whether TryReserve would succeed.
  auto CanReserve(const RegionName& from, const RegionName& to, Bytes bytes,
                  MonotonicTime now) const -> bool;

 private:
  struct TokenBucket {
    double bytes_per_second = 0;
    double burst = 0;
    double tokens = 0;
    MonotonicTime updated;
  };
  using Direction = std::pair<RegionName, RegionName>;

  static auto TokensAt(const TokenBucket& bucket, MonotonicTime now) -> double;
  auto SetRate(const Direction& direction, double bytes_per_second, MonotonicTime now) -> void;

  absl::flat_hash_map<Direction, TokenBucket> buckets_;
};

}  // namespace heatherspan
