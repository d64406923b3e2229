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
class ModelTarget {
 public:
  struct Job {
    std::uint64_t id = 0;
    ObjectHash object = 0;
    Duration work{};  ///< On an object that it does not know.
    MonotonicTime deadline{};
  };
  struct Started {
    Job job;
    Duration takes{};
    bool was_cold = false;
  };

  ModelTarget(RegisteredTarget entry, int queue, std::size_t remembered, double warm_factor)
      : entry_(std::move(entry)),
        queue_(queue),
        remembered_(remembered),
        warm_factor_(warm_factor) {}

  auto entry() const -> const RegisteredTarget& { return entry_; }
  auto SetSlowness(double factor) -> void { slowness_ = factor; }
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
  auto Knows(ObjectHash object) -> bool;

  RegisteredTarget entry_;
  int queue_;
  std::size_t remembered_;
  double warm_factor_;
  double slowness_ = 1;
  int running_ = 0;
  bool stopped_ = false;
  std::deque<Job> waiting_;
  std::deque<ObjectHash> objects_;  ///< The latest first.
};

}  // namespace heatherspan
