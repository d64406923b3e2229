#pragma once

#include "base/random.h"
#include "base/time.h"

namespace heatherspan {

/// Bounds this process's calls to the platform: a token bucket, and exponential backoff with jitter
/// after failures. The platform's rates grow more slowly than the fleet, so each node keeps to a
/// small part of them. Not thread-safe.
class CallPacer {
 public:
  struct Limits {
    double calls_per_second = 50;
    /// Calls. A put, a check and a promotion of a document of 110,000 blocks read and write about
    /// 200 chunks each; at 20 calls/s without this burst they took 44 s.
    double burst = 512;
    Duration backoff_min = std::chrono::milliseconds(100);
    Duration backoff_max = std::chrono::seconds(5);
  };

  CallPacer(Limits limits, Random random);

  /// Takes a token and returns zero, or returns the time until there is one.
  auto TakeToken(MonotonicTime now) -> Duration;
  /// The time for which calls are not to be tried since earlier ones failed.
  auto BackoffLeft(MonotonicTime now) const -> Duration;
  auto OnSuccess() -> void;
  auto OnFailure(MonotonicTime now) -> void;

 private:
  Limits limits_;
  Random random_;
  double tokens_;
  MonotonicTime refilled_{};
  Duration backoff_{};
  MonotonicTime backoff_end_{};
};

}  // namespace heatherspan
