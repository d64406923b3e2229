#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

#include "base/time.h"
#include "daemon/leave_state.h"
#include "net/worker_pool.h"

namespace heatherspan {

class EventLog;

/// Runs the steps of a planned stop: announce it, continue to serve while callers may still use
/// this node's address, refuse new requests, complete those in flight, stop. Thread-safe.
class PlannedStop {
 public:
  struct Steps {
    std::function<void()> announce;
    std::function<void()> begin_refusal;
    std::function<std::size_t()> active_requests;
  };

  /// The linger time must cover the lifetime of look-up answers with a margin, and the start window
  /// of tickets.
  PlannedStop(WorkerPool& workers, LeaveState& state, Duration linger, EventLog& log, Steps steps);

  auto Begin() -> void;
  auto Wait() -> void;

 private:
  auto OnLingerEnd() -> void;
  auto OnTick() -> void;

  WorkerPool& workers_;
  LeaveState& state_;
  Duration linger_;
  EventLog& log_;
  Steps steps_;

  std::mutex mutex_;
  std::condition_variable stopped_changed_;
  bool stopped_ = false;
  int idle_ticks_ = 0;
  std::shared_ptr<WorkerPool::Timer> ticket_timer_;
  std::shared_ptr<WorkerPool::Timer> linger_timer_;
  std::shared_ptr<WorkerPool::Timer> tick_timer_;
};

}  // namespace heatherspan
