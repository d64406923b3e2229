#pragma once

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// Targets whose removal is in doubt: their registrations may have expired during an outage of the
/// store. They stay in use until the state of the store shows whether they have registered again.
class PendingRemovals {
 public:
  /// A node that hears nothing of the store does not use such a target any longer.
  static constexpr Duration kMaxTime = std::chrono::seconds(5);

  auto Add(const TargetName& name, MonotonicTime now) -> void { heard_at_.try_emplace(name, now); }
  auto Remove(const TargetName& name) -> void { heard_at_.erase(name); }
  auto Contains(const TargetName& name) const -> bool { return heard_at_.contains(name); }
  /// Returns and forgets the targets whose removal stands. `certain_until`: removals that were
  /// heard of before are no longer in doubt.
  auto Take(std::optional<MonotonicTime> certain_until, MonotonicTime now)
      -> std::vector<TargetName> {
    std::vector<TargetName> removed;
    for (const auto& [name, heard_at] : heard_at_) {
      if (heard_at <= certain_until || now - heard_at >= kMaxTime) removed.push_back(name);
    }
    for (const auto& name : removed) heard_at_.erase(name);
    return removed;
  }

 private:
  absl::flat_hash_map<TargetName, MonotonicTime> heard_at_;
};

}  // namespace heatherspan
