#pragma once

#include "base/time.h"

namespace heatherspan {

/// Whether this node reads the store itself, or only asks the readers of its zone.
class StoreReaderRole {
 public:
  /// A node whose readers have given no recent state for this time reads the store itself. It
  /// covers two questions to each reader.
  static constexpr Duration kReaderTimeout = std::chrono::milliseconds(1500);
  /// A reader's state is recent up to this age: a watch of a store without changes is answered
  /// within 2.5 s.
  static constexpr Duration kMaxReaderAge = std::chrono::milliseconds(3500);

  /// `is_reader`: the node is one of the readers of its zone.
  auto SetReader(bool is_reader, MonotonicTime now) -> void {
    if (is_reader_ && !is_reader) recent_answer_at_ = now;
    is_reader_ = is_reader;
  }
  /// A reader of the zone has answered with a state of the given age.
  auto OnReaderAnswer(Duration age, MonotonicTime now) -> void {
    if (age <= kMaxReaderAge) recent_answer_at_ = now;
  }
  auto ReadsStore(MonotonicTime now) const -> bool {
    return is_reader_ || now - recent_answer_at_ > kReaderTimeout;
  }

 private:
  bool is_reader_ = true;
  MonotonicTime recent_answer_at_{};
};

}  // namespace heatherspan
