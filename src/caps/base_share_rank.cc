#include "caps/base_share_rank.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace heatherspan {
namespace {

// A VM without a newer view of its zone, for example because its process is paused, uses its base
// share for at most this time.
constexpr Duration kMaxViewAge = std::chrono::seconds(2);
// The sum of kMaxViewAge and the 2 s that a membership change takes to reach the whole zone, with
// 5% drift of both clocks, is 4.3 s. With 3 s, a VM that returned and a paused VM that it outranks
// had base shares at the same time (cap simulation, HS_SEED=24).
constexpr Duration kBaseShareHoldTime = std::chrono::milliseconds(4'500);

auto IsBefore(const RankedVm& a, const RankedVm& b) -> bool {
  return std::tie(a.started_unix_ms, a.instance) < std::tie(b.started_unix_ms, b.instance);
}

}  // namespace

auto BaseShareRank::OnZoneVms(const std::vector<RankedVm>& vms, int entry_vms_max,
                              MonotonicTime now) -> void {
  const auto rank = std::count_if(vms.begin(), vms.end(),
                                  [this](const RankedVm& vm) { return IsBefore(vm, self_); });
  const bool was_paused = now - last_view_time_ > kMaxViewAge;
  last_view_time_ = now;
  if (rank >= entry_vms_max) {
    in_rank_since_.reset();
  } else if (!in_rank_since_.has_value() || was_paused) {
    in_rank_since_ = now;
  }
}

auto BaseShareRank::HasBaseShare(MonotonicTime now) const -> bool {
  return in_rank_since_.has_value() && now - *in_rank_since_ >= kBaseShareHoldTime &&
         now - last_view_time_ <= kMaxViewAge;
}

}  // namespace heatherspan
