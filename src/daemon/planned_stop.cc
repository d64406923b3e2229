#include "daemon/planned_stop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "observe/event_log.h"
#include "tickets/ticket_limits.h"

namespace heatherspan {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// A response that was just passed to its connection may not be written yet.
constexpr int kIdleTicksToStop = 4;

}  // namespace

PlannedStop::PlannedStop(WorkerPool& workers, LeaveState& state, Duration linger, EventLog& log,
                         Steps steps)
    : workers_(workers), state_(state), linger_(linger), log_(log), steps_(std::move(steps)) {}

auto PlannedStop::Begin() -> void {
  if (state_.is_leaving()) return;
  state_.BeginLeave();
  log_.Write(
      LogLevel::kInfo, "leaving",
      {{"linger_ms", std::chrono::duration_cast<std::chrono::milliseconds>(linger_).count()}});
  steps_.announce();
  const std::lock_guard lock(mutex_);
  // The start window of a ticket that is issued later would end after the node begins to refuse
  // requests, so the ticket could be used too late.
  const auto ticket_time = std::max(Duration::zero(), linger_ - TicketLimits().start_window);
  ticket_timer_ = workers_.RunAfter(ticket_time, [this] { state_.StopTickets(); });
  linger_timer_ = workers_.RunAfter(linger_, [this] { OnLingerEnd(); });
}

auto PlannedStop::OnLingerEnd() -> void {
  state_.BeginRefusal();
  log_.Write(LogLevel::kInfo, "refusing", {{"active_requests", steps_.active_requests()}});
  steps_.begin_refusal();
  const std::lock_guard lock(mutex_);
  tick_timer_ = workers_.RunEvery(kTickInterval, [this] { OnTick(); });
}

auto PlannedStop::OnTick() -> void {
  const bool idle = steps_.active_requests() == 0;
  const std::lock_guard lock(mutex_);
  idle_ticks_ = idle ? idle_ticks_ + 1 : 0;
  if (idle_ticks_ < kIdleTicksToStop) return;
  stopped_ = true;
  stopped_changed_.notify_all();
}

auto PlannedStop::Wait() -> void {
  std::unique_lock lock(mutex_);
  stopped_changed_.wait(lock, [this] { return stopped_; });
}

}  // namespace heatherspan
