#pragma once

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/time.h"

namespace heatherspan {

/// Targets, or other things that the store names, whose removal is in doubt: they may have expired
/// during an outage of the store, or the store may have come back from an older copy. They stay in
/// use until the state of the store shows whether they have been written again.
template <class Name>
class PendingRemovals {
 public:
  /// A node that hears nothing of the store does not wait longer.
  static constexpr Duration kMaxTime = std::chrono::seconds(5);

  auto Add(const Name& name, MonotonicTime now) -> void { heard_at_.try_emplace(name, now); }
  auto Remove(const Name& name) -> void { heard_at_.erase(name); }
  auto Contains(const Name& name) const -> bool { return heard_at_.contains(name); }
  /// Returns and forgets the names whose removal stands. `certain_until`: removals that were
  /// heard of before are no longer in doubt.
  auto Take(std::optional<MonotonicTime> certain_until, MonotonicTime now) -> std::vector<Name> {
    std::vector<Name> removed;
    for (const auto& [name, heard_at] : heard_at_) {
      if (heard_at <= certain_until || now - heard_at >= kMaxTime) removed.push_back(name);
    }
    for (const auto& name : removed) heard_at_.erase(name);
    return removed;
  }

 private:
  absl::flat_hash_map<Name, MonotonicTime> heard_at_;
};

}  // namespace heatherspan
