#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// Decides how long a request that will be late may wait for a target. Load pattern: more work than
/// the targets can do, of which a part would be on time if there were no queues. Late requests that
/// fill the queues make that part late as well, so they give way to it, the more so the busier the
/// targets would be with it alone. A request gives way to requests that are at least as urgent.
/// While hardly any work can be on time, as with empty caches, late work displaces nothing and may
/// wait.
class LateWorkLimit {
 public:
  /// A request whose work takes `work` at a target is to be placed. `can_be_on_time`: at a target
  /// without a queue.
  auto OnRequest(const ServiceName& service, int priority, Duration work, bool can_be_on_time,
                 MonotonicTime now) -> void;

  /// Returns the part of the recent work that could be on time and to which a request of the
  /// priority gives way.
  auto PrecedingShare(const ServiceName& service, int priority) const -> double;

  /// Returns the fraction of its usual wait that a late request may wait: 1 while the targets have
  /// room, 0 while the preceding work alone keeps them busy. `utilization`: requests per slot.
  static auto WaitFraction(double utilization, double preceding_share) -> double;

 private:
  /// Recent work of one priority, with decaying weights.
  struct Work {
    int priority = 0;
    double all = 0;
    double on_time = 0;
  };
  struct ServiceWork {
    MonotonicTime updated{};
    std::vector<Work> by_priority;
  };

  absl::flat_hash_map<ServiceName, ServiceWork> services_;
};

}  // namespace heatherspan
