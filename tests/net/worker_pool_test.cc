#include "net/worker_pool.h"

#include <gtest/gtest.h>

#include "blocking_queue.h"

namespace heatherspan {
namespace {

TEST(WorkerPool, RunsPostedTasksAndTimers) {
  BlockingQueue<int> runs;
  WorkerPool workers(2);
  workers.Post([&] { runs.Push(1); });
  EXPECT_EQ(runs.Pop(), 1);
  const auto once = workers.RunAfter(std::chrono::milliseconds(1), [&] { runs.Push(2); });
  EXPECT_EQ(runs.Pop(), 2);
  const auto timer = workers.RunEvery(std::chrono::milliseconds(1), [&] { runs.Push(3); });
  EXPECT_EQ(runs.Pop(), 3);
  EXPECT_EQ(runs.Pop(), 3);
}

// Guards against a task that runs with references to an owner that is gone.
TEST(WorkerPool, DestroyedTimerDoesNotRun) {
  BlockingQueue<int> runs;
  WorkerPool workers(1);
  workers.Post([&] {
    // The only worker is busy here, so that the timer can't start before it is destroyed.
    auto cancelled = workers.RunAfter(Duration::zero(), [&] { runs.Push(1); });
    cancelled.reset();
    runs.Push(0);
  });
  EXPECT_EQ(runs.Pop(), 0);
  const auto later = workers.RunAfter(std::chrono::milliseconds(20), [&] { runs.Push(2); });
  EXPECT_EQ(runs.Pop(), 2);
  EXPECT_EQ(runs.size(), 0U);
}

}  // namespace
}  // namespace heatherspan
