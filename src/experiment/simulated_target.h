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

/// A target in virtual time with slots, a bounded queue and a cache of the most recent objects.
class SimulatedTarget {
 public:
  struct Job {
    std::uint64_t id = 0;
    ObjectHash object = 0;
    Duration processing_time{};  ///< For an uncached object.
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

  /// Queues the job. Returns false, a refusal, if all slots are in use and the queue is full.
  auto Offer(const Job& job) -> bool;
  /// Starts waiting jobs in the free slots. The caller ends each of them after its duration. Jobs
  /// whose deadline has passed are passed to `expired` and dropped.
  auto StartNext(MonotonicTime now, const std::function<void(const Job&)>& expired)
      -> std::vector<Started>;
  auto OnEnd() -> void { --running_; }
  /// Stops the target and returns the waiting jobs.
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
  std::deque<ObjectHash> cached_objects_;  ///< Most recent first.
};

}  // namespace heatherspan
