#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// One attempt of this node; unique in the process.
using AttemptNumber = std::uint64_t;

/// The load that a target has reported in a response.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// Predicts how long a new request would wait at one target, from this node's own requests there
/// and from what the target last reported of the others.
class TargetLoad {
 public:
  explicit TargetLoad(int slots) : slots_(slots) {}

  auto SetSlots(int slots) -> void { slots_ = slots; }
  /// `longest` is how long the attempt takes at most if all is well.
  auto Begin(AttemptNumber attempt, Duration max_duration, Duration expected_processing_time,
             MonotonicTime now) -> void;
  /// Returns how long the attempt took; zero if it is not known.
  auto End(AttemptNumber attempt, MonotonicTime now) -> Duration;
  auto OnReport(const LoadReport& report, MonotonicTime now) -> void;
  /// The target refused a request for want of room.
  auto OnFull(MonotonicTime now) -> void;

  auto in_flight() const -> int { return static_cast<int>(attempts_.size()); }
  auto slots() const -> int { return slots_; }
  /// How long a new request would wait.
  auto QueueWait(MonotonicTime now) const -> Duration;
  /// How many times its longest time an attempt has taken so far, at most; at least 1.
  auto OverdueRatio(MonotonicTime now) const -> double;

 private:
  struct Attempt {
    AttemptNumber number;
    MonotonicTime begin;
    Duration max_duration;
    Duration expected;
  };

  auto OtherRequests(MonotonicTime now) const -> double;

  int slots_;
  std::vector<Attempt> attempts_;
  Duration mean_processing_time_{};
  double reported_other_requests_ = 0;  ///< Requests of other nodes when last reported.
  MonotonicTime reported_at_{};
};

}  // namespace heatherspan
