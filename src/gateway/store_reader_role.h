#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "gateway/peer_selection.h"

namespace heatherspan {

/// Whether this node reads the store itself, and which peer it asks next for changes.
class StoreReaderRole {
 public:
  /// A node whose reader has given no recent state for this time asks others as well. It covers two
  /// questions.
  static constexpr Duration kReaderPause = std::chrono::milliseconds(800);
  /// A node whose reader has given no recent state for this time reads the store itself.
  static constexpr Duration kReaderTimeout = std::chrono::milliseconds(1500);
  /// A reader's state is recent up to this age: a watch of a store without changes is answered
  /// within 2.5 s.
  static constexpr Duration kMaxReaderAge = std::chrono::milliseconds(3500);

  struct Question {
    Endpoint peer;
    bool is_zone_reader = false;
  };

  /// Takes over the peers, unless there are none: the announcements of all entry VMs may expire
  /// during an outage of the store, and the VMs still run.
  auto SetPeers(PeerSelection peers, MonotonicTime now) -> void;
  /// The reader of the zone has answered with a state of the given age.
  auto OnReaderAnswer(Duration age, MonotonicTime now) -> void {
    if (age <= kMaxReaderAge) recent_answer_at_ = now;
  }
  auto ReadsStore(MonotonicTime now) const -> bool {
    return peers_.is_reader || now - recent_answer_at_ > kReaderTimeout;
  }
  /// Returns the next peer to ask, in turn.
  auto NextQuestion(MonotonicTime now) -> std::optional<Question>;

 private:
  PeerSelection peers_;
  MonotonicTime recent_answer_at_{};
  std::size_t next_ = 0;
};

}  // namespace heatherspan
