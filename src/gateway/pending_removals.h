#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// Targets whose registrations expired during an outage of the store. A running target registers
/// again within two seconds after the store's return and stays in use until then.
class PendingRemovals {
 public:
  static constexpr Duration kReregistrationTime = std::chrono::seconds(2);

  auto Add(const TargetName& name, MonotonicTime now) -> void {
    until_.try_emplace(name, now + kReregistrationTime);
  }
  auto Remove(const TargetName& name) -> void { until_.erase(name); }
  /// Returns and forgets the targets that have not registered again in time.
  auto TakeExpired(MonotonicTime now) -> std::vector<TargetName> {
    std::vector<TargetName> expired;
    for (const auto& [name, until] : until_) {
      if (until <= now) expired.push_back(name);
    }
    for (const auto& name : expired) until_.erase(name);
    return expired;
  }

 private:
  absl::flat_hash_map<TargetName, MonotonicTime> until_;
};

}  // namespace heatherspan
