#include "experiment/model_target.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

auto ModelTarget::Offer(const Job& job) -> bool {
  const bool has_slot = running_ < entry_.slots;
  if (!has_slot && static_cast<int>(waiting_.size()) >= queue_) return false;
  waiting_.push_back(job);
  return true;
}

auto ModelTarget::Knows(ObjectHash object) -> bool {
  const auto found = std::find(objects_.begin(), objects_.end(), object);
  const bool known = found != objects_.end();
  if (known) objects_.erase(found);
  objects_.push_front(object);
  if (objects_.size() > remembered_) objects_.pop_back();
  return known;
}

auto ModelTarget::StartNext(MonotonicTime now, const std::function<void(const Job&)>& expired)
    -> std::vector<Started> {
  std::vector<Started> started;
  while (running_ < entry_.slots && !waiting_.empty()) {
    const auto job = waiting_.front();
    waiting_.pop_front();
    if (job.deadline <= now) {
      expired(job);
      continue;
    }
    const bool known = Knows(job.object);
    const double factor = slowness_ * (known ? warm_factor_ : 1);
    ++running_;
    started.push_back(
        {job, Duration(static_cast<Duration::rep>(static_cast<double>(job.work.count()) * factor)),
         !known});
  }
  return started;
}

auto ModelTarget::Stop() -> std::deque<Job> {
  stopped_ = true;
  return std::exchange(waiting_, {});
}

}  // namespace heatherspan
