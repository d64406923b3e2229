#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "gateway/limit_report.h"

namespace heatherspan {

/// The latest that this node has heard of each target's limit, from the target's answers or from
/// other entry VMs. VMs that send little to a target learn from the others that its limit has begun
/// or ended.
class KnownLimits {
 public:
  /// What was heard longer ago is not told to others, and the end of a limit is forgotten.
  static constexpr Duration kRetention = std::chrono::seconds(30);
  static constexpr std::size_t kMaxReports = 64;

  /// Returns whether this is later than what was known. A target that has named no limit within the
  /// retention is not recorded.
  auto OnHeard(const TargetName& target, std::optional<RequestsPerSecond> limit, MonotonicTime at,
               MonotonicTime now) -> bool;
  auto Erase(const TargetName& target) -> void { entries_.erase(target); }
  /// Returns what to tell others.
  auto Reports(MonotonicTime now) const -> std::vector<LimitReport>;

 private:
  struct Entry {
    std::optional<RequestsPerSecond> limit;
    MonotonicTime heard_at;
  };

  auto Forget(MonotonicTime now) -> void;

  absl::flat_hash_map<TargetName, Entry> entries_;
};

}  // namespace heatherspan
