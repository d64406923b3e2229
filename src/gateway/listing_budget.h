#pragma once

#include <algorithm>
#include <cstddef>

namespace heatherspan {

/// Bounds the listings that a VM gives to its peers, so that they don't fill its link. Load
/// pattern: many VMs start while the store is away, and all ask the same few seeds. A listing for
/// 3,000 targets is about 1 MB; links have 10 Mbit/s and more.
class ListingBudget {
 public:
  /// 4 Mbit/s at four ticks a second.
  static constexpr std::size_t kBytesPerTick = std::size_t{128} * 1024;

  auto MayGive() const -> bool { return debt_ < kBytesPerTick; }
  auto OnGiven(std::size_t bytes) -> void { debt_ += bytes; }
  auto OnTick() -> void { debt_ -= std::min(debt_, kBytesPerTick); }

 private:
  std::size_t debt_ = 0;  ///< Bytes given and not yet covered by ticks.
};

}  // namespace heatherspan
