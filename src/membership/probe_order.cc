#include "membership/probe_order.h"

#include <algorithm>

namespace heatherspan {

auto ProbeOrder::Add(InstanceId instance, Random& random) -> void {
  const auto remaining = round_.size() - next_;
  const auto position = next_ + random() % (remaining + 1);
  round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(position), instance);
}

auto ProbeOrder::Next(const std::vector<InstanceId>& live, Random& random)
    -> std::optional<InstanceId> {
  if (AtEnd()) {
    round_ = live;
    std::shuffle(round_.begin(), round_.end(), random);
    next_ = 0;
  }
  if (AtEnd()) return std::nullopt;
  return round_[next_++];
}

}  // namespace heatherspan
