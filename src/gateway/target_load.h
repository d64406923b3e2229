#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// Number of an attempt of this node, unique in the process.
using AttemptNumber = std::uint64_t;

/// The load that a target reports in a response.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes at present, as a multiple of the usual time.
  double slowdown = 1;
};

/// Predicts the queue wait of a new request at one target from this node's own requests there and
/// from the target's last report of other requests.
class TargetLoad {
 public:
  explicit TargetLoad(int slots) : slots_(slots) {}

  auto SetSlots(int slots) -> void { slots_ = slots; }
  /// `max_duration`: the longest time that the attempt takes at a healthy target.
  auto Begin(AttemptNumber attempt, Duration max_duration, Duration expected_processing_time,
             MonotonicTime now) -> void;
  /// Returns the duration of the attempt; zero if the attempt is unknown.
  auto End(AttemptNumber attempt, MonotonicTime now) -> Duration;
  auto OnReport(const LoadReport& report, MonotonicTime now) -> void;
  /// The target refused a request because it has no free capacity.
  auto OnFull(MonotonicTime now) -> void;

  auto in_flight() const -> int { return static_cast<int>(attempts_.size()); }
  auto slots() const -> int { return slots_; }
  /// Returns the queue wait of a new request.
  auto QueueWait(MonotonicTime now) const -> Duration;
  /// Returns the largest ratio of elapsed time to `max_duration` among the attempts in progress; at
  /// least 1.
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
  double reported_other_requests_ = 0;  ///< Requests of other nodes in the last report.
  MonotonicTime reported_at_{};
};

}  // namespace heatherspan
