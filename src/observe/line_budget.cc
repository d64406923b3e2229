#include "observe/line_budget.h"

#include "fmt/format.h"

namespace heatherspan {

auto LineBudget::Take(std::chrono::steady_clock::time_point now, std::size_t lost) -> Answer {
  const std::lock_guard lock(mutex_);
  Answer answer;
  if (now - second_began_ >= std::chrono::seconds(1)) {
    second_began_ = now;
    written_ = 0;
    if (suppressed_ > 0 || lost > reported_lost_) {
      answer.notice = fmt::format("event=log-lines-left-out over_rate={} reader_too_slow={}",
                                  suppressed_, lost - reported_lost_);
      suppressed_ = 0;
      reported_lost_ = lost;
    }
  }
  if (written_ >= lines_per_second_) {
    ++suppressed_;
    answer.write = false;
  } else {
    ++written_;
  }
  return answer;
}

}  // namespace heatherspan
