#include "gateway/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {

auto QuotaBucket::Advance(const TeamQuotaBudget& budget, double fraction, double supply,
                          Duration token_life, MonotonicTime now) -> void {
  const auto slot = static_cast<std::int64_t>(now.time_since_epoch() / kSlot);
  const auto passed = std::min<std::int64_t>(slot - slot_, kSlots);
  for (std::int64_t i = 1; i <= passed; ++i) {
    granted_[static_cast<std::size_t>((slot - passed + i) % static_cast<int>(kSlots))] = 0;
  }
  slot_ = slot;
  token_life_ = std::min(token_life, kMaxTokenLife);
  limit_ = budget.depth * fraction;
  level_ += budget.rate.value() * (supply - seen_supply_);
  level_ = std::clamp(level_, 0.0, std::max(0.0, limit_ - Recent(token_life_)));
  seen_supply_ = supply;
}

/// Earlier slots that a lifetime reaches into.
auto QuotaBucket::SlotCount(Duration token_life) -> std::int64_t {
  return (token_life + kSlot - Duration(1)) / kSlot;
}

auto QuotaBucket::Take(int wanted) -> int {
  const int taken = std::clamp(wanted, 0, static_cast<int>(std::floor(level_)));
  level_ -= taken;
  granted_[static_cast<std::size_t>(slot_ % static_cast<int>(kSlots))] += static_cast<float>(taken);
  return taken;
}

auto QuotaBucket::Forget(int count) -> float {
  const auto wanted = static_cast<float>(std::max(0, count));
  float open = wanted;
  const auto slots = SlotCount(token_life_);
  for (std::int64_t i = 0; i <= slots && open > 0; ++i) {
    auto& granted = granted_[static_cast<std::size_t>((slot_ - i + static_cast<int>(kSlots)) %
                                                      static_cast<int>(kSlots))];
    const float part = std::min(granted, open);
    granted -= part;
    open -= part;
  }
  return wanted - open;
}

auto QuotaBucket::Credit(int returned) -> void {
  level_ += static_cast<double>(Forget(returned));
  level_ = std::min(level_, std::max(0.0, limit_ - Recent(token_life_)));
}

auto QuotaBucket::Renew(int count) -> bool {
  const float renewed = Forget(count);
  granted_[static_cast<std::size_t>(slot_ % static_cast<int>(kSlots))] += renewed;
  return renewed == static_cast<float>(std::max(0, count));
}

auto QuotaBucket::Recent(Duration token_life) const -> double {
  if (token_life == Duration::zero()) return 0;
  double sum = 0;
  const auto count = SlotCount(token_life);
  for (std::int64_t i = 0; i <= count; ++i) {
    sum += static_cast<double>(granted_[static_cast<std::size_t>(
        (slot_ - i + static_cast<int>(kSlots)) % static_cast<int>(kSlots))]);
  }
  return sum;
}

}  // namespace heatherspan
