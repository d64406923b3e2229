#pragma once

#include <algorithm>

#include "base/time.h"

namespace heatherspan {

/// How recent each node's state of the store is kept, so that a change is known to all entry VMs
/// within a bound.
struct StoreReadTiming {
  /// A node whose state is older reads the store itself and searches all peers for a newer state.
  Duration max_state_age = std::chrono::milliseconds(1500);
  /// Two answers of the store to a reader are so far apart at most. While the store and the readers
  /// are well, no state becomes older than `max_state_age`: the difference covers the way to the
  /// store and the pause between two questions to the reader.
  Duration answer_interval = std::chrono::milliseconds(1000);

  /// Two answers of the store that are further apart mean an outage, even if no call is known to
  /// have failed: a node with an old state has called the store by then.
  auto max_answer_gap() const -> Duration { return max_state_age + std::chrono::seconds(1); }

  /// `bound`: the time within which all entry VMs have to know of a change. A second of it is left
  /// to find the change.
  static auto For(Duration bound) -> StoreReadTiming {
    constexpr Duration kSearchTime = std::chrono::seconds(1);
    constexpr Duration kReserve = std::chrono::milliseconds(500);
    const auto max_state_age = std::max(bound - kSearchTime, 2 * kReserve);
    return {max_state_age, max_state_age - kReserve};
  }
};

}  // namespace heatherspan
