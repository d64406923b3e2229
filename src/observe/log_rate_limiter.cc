#include "observe/log_rate_limiter.h"

#include "fmt/format.h"

namespace heatherspan {

auto LogRateLimiter::Acquire(std::chrono::steady_clock::time_point now, std::size_t dropped)
    -> Decision {
  const std::lock_guard lock(mutex_);
  Decision decision;
  if (now - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = now;
    written_ = 0;
    if (suppressed_ > 0 || dropped > reported_dropped_) {
      decision.notice = fmt::format("event=log-lines-left-out over_rate={} reader_too_slow={}",
                                    suppressed_, dropped - reported_dropped_);
      suppressed_ = 0;
      reported_dropped_ = dropped;
    }
  }
  if (written_ >= lines_per_second_) {
    ++suppressed_;
    decision.write = false;
  } else {
    ++written_;
  }
  return decision;
}

}  // namespace heatherspan
