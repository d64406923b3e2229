#pragma once

#include <algorithm>

#include "base/time.h"

namespace heatherspan {

/// How recent each node's state of the store is kept, so that a change is known to all entry VMs
/// within a bound.
struct StoreReadTiming {
  /// How old a proof becomes in calm, as a part of the time for which it counts.
  static constexpr int kCalmPercent = 35;

  /// A node whose state is older reads the store itself and searches all peers for a newer state.
  Duration max_state_age = std::chrono::milliseconds(1500);
  /// Two answers of the store to a reader are so far apart at most. While the store and the readers
  /// are well, no state becomes older than `max_state_age`: the difference covers the way to the
  /// store and the pause between two questions to the reader.
  Duration answer_interval = std::chrono::milliseconds(1000);
  /// The delay before the next watch, so that one call reads several changes that come close
  /// together. It is a tenth of the time within which a configuration has to be in force in a
  /// deployment of full size.
  Duration batch_delay = std::chrono::milliseconds(900);
  /// A node whose state is proved only for a time longer ago reads the store itself.
  Duration max_proved_age = Duration::max();

  /// Two answers of the store that are further apart mean an outage, even if no call is known to
  /// have failed: a node with an old state has called the store by then.
  auto max_answer_gap() const -> Duration { return max_state_age + std::chrono::seconds(1); }

  /// `bound`: the time within which all entry VMs have to know of a change. A second of it is left
  /// to find the change.
  static constexpr auto For(Duration bound) -> StoreReadTiming {
    constexpr Duration kSearchTime = std::chrono::seconds(1);
    constexpr Duration kReserve = std::chrono::milliseconds(500);
    const auto max_state_age = std::max(bound - kSearchTime, 2 * kReserve);
    StoreReadTiming timing;
    timing.max_state_age = max_state_age;
    timing.answer_interval = max_state_age - kReserve;
    return timing;
  }

  /// The same where requests are refused once the state is proved for no time since `limit`. In
  /// calm the proof that a node has by way of a reader is at most two intervals old, since the next
  /// watch is made when the one before is answered, beside the pause between two questions and the
  /// ways. That is kept to about a third of the limit, so that an outage of the store may last for
  /// most of it before callers notice.
  constexpr auto ProvedWithin(Duration limit) const -> StoreReadTiming {
    constexpr Duration kWays = std::chrono::milliseconds(450);
    constexpr Duration kMinInterval = std::chrono::milliseconds(100);
    auto timing = *this;
    timing.max_proved_age = limit * 3 / 4;
    const auto longest = std::max((limit * kCalmPercent / 100 - kWays) / 2, kMinInterval);
    timing.answer_interval = std::min(answer_interval, longest);
    timing.batch_delay = std::min(batch_delay, longest);
    return timing;
  }
};

}  // namespace heatherspan
