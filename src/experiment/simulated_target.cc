#include "experiment/simulated_target.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

auto SimulatedTarget::Offer(const Job& job) -> bool {
  const bool has_slot = running_ < entry_.slots;
  if (!has_slot && static_cast<int>(waiting_.size()) >= queue_) return false;
  waiting_.push_back(job);
  return true;
}

auto SimulatedTarget::LookUpAndCache(ObjectHash object) -> bool {
  const auto found = std::find(cached_objects_.begin(), cached_objects_.end(), object);
  const bool cached = found != cached_objects_.end();
  if (cached) cached_objects_.erase(found);
  cached_objects_.push_front(object);
  if (cached_objects_.size() > cache_capacity_) cached_objects_.pop_back();
  return cached;
}

auto SimulatedTarget::StartNext(MonotonicTime now, const std::function<void(const Job&)>& expired)
    -> std::vector<Started> {
  std::vector<Started> started;
  while (running_ < entry_.slots && !waiting_.empty()) {
    const auto job = waiting_.front();
    waiting_.pop_front();
    if (job.deadline <= now) {
      expired(job);
      continue;
    }
    const bool cached = LookUpAndCache(job.object);
    const double factor = slowdown_ * (cached ? cache_hit_factor_ : 1);
    ++running_;
    started.push_back({job,
                       Duration(static_cast<Duration::rep>(
                           static_cast<double>(job.processing_time.count()) * factor)),
                       !cached});
  }
  return started;
}

auto SimulatedTarget::Stop() -> std::deque<Job> {
  stopped_ = true;
  return std::exchange(waiting_, {});
}

}  // namespace heatherspan
