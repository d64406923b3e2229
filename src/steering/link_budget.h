#pragma once

#include <chrono>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// This node's part of the links between regions: the usable capacity, divided by the number of
/// live entry VMs in the first node's region. Each direction has its own budget.
class LinkBudget {
 public:
  /// The burst, as time at the full rate; at least one large response.
  static constexpr Duration kBurstTime = std::chrono::milliseconds(100);
  static constexpr Bytes kMinBurst = Bytes(65'536);

  /// Takes over links and node counts; keeps what has been used.
  auto Update(const SteeringView& view, MonotonicTime now) -> void;

  /// Books the expected bytes of a response that travels from region `to`, which serves it, to
  /// region `from`, where it was first received. Within a region it always succeeds; without a link
  /// between the regions never. In any window of length T at most rate x T + burst is booked, plus
  /// one response that is larger than the burst.
  auto TryReserve(const RegionName& from, const RegionName& to, Bytes bytes, MonotonicTime now)
      -> bool;

  /// Corrects a booking when the size is known; a longer response is taken from later ones.
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
