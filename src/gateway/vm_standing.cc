#include "gateway/vm_standing.h"

#include <algorithm>

namespace heatherspan {

auto VmStanding::Update(const std::vector<EntryVm>& announced, MonotonicTime now) -> void {
  const bool is_announced = std::any_of(announced.begin(), announced.end(),
                                        [&](const EntryVm& vm) { return vm.name == self_; });
  if (is_announced && !is_announced_) announced_since_ = now;
  is_announced_ = is_announced;
  const bool is_known = is_announced && now - announced_since_ >= change_bound_ + kSpreadMargin;
  const bool is_renewed = renewed_at_.has_value() && now - *renewed_at_ <= kMaxRenewalAge;
  if (!is_known || !is_renewed) {
    if (kind_ == Kind::kActive) kind_ = Kind::kLapsed;
    return;
  }
  kind_ = Kind::kActive;
  vms_ = announced;
  if (vms_.size() >= largest_count_ || now - largest_count_at_ > kCountRetention) {
    largest_count_ = vms_.size();
    largest_count_at_ = now;
  }
}

}  // namespace heatherspan
