#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "base/time.h"
#include "gateway/cached_objects.h"
#include "gateway/registered_target.h"
#include "gateway/target_load.h"

namespace heatherspan {

/// A target in virtual time: slots, a bounded queue, and a memory of the latest objects.
class SimulatedTarget {
 public:
  struct Job {
    std::uint64_t id = 0;
    ObjectHash object = 0;
    Duration processing_time{};  ///< On an object that it does not know.
    MonotonicTime deadline{};
  };
  struct Started {
    Job job;
    Duration duration{};
    bool cache_miss = false;
  };

  SimulatedTarget(RegisteredTarget entry, int queue, std::size_t cache_capacity,
                  double cache_hit_factor)
      : entry_(std::move(entry)),
        queue_(queue),
        cache_capacity_(cache_capacity),
        cache_hit_factor_(cache_hit_factor) {}

  auto entry() const -> const RegisteredTarget& { return entry_; }
  auto SetSlowdown(double factor) -> void { slowdown_ = factor; }
  auto Load() const -> LoadReport {
    return {running_, static_cast<int>(waiting_.size()), entry_.slots};
  }

  /// False: refused for want of room.
  auto Offer(const Job& job) -> bool;
  /// The next job that can start now, if any; the caller ends it after the time it takes. Jobs
  /// whose deadline has passed are given to the function and dropped.
  auto StartNext(MonotonicTime now, const std::function<void(const Job&)>& expired)
      -> std::vector<Started>;
  auto OnEnd() -> void { --running_; }
  /// Ends it; returns the jobs that waited.
  auto Stop() -> std::deque<Job>;
  auto stopped() const -> bool { return stopped_; }

 private:
  auto LookUpAndCache(ObjectHash object) -> bool;

  RegisteredTarget entry_;
  int queue_;
  std::size_t cache_capacity_;
  double cache_hit_factor_;
  double slowdown_ = 1;
  int running_ = 0;
  bool stopped_ = false;
  std::deque<Job> waiting_;
  std::deque<ObjectHash> cached_objects_;  ///< The latest first.
};

}  // namespace heatherspan
