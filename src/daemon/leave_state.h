#pragma once

#include <atomic>

namespace heatherspan {

/// How far the planned stop of this node has come. Thread-safe.
class LeaveState {
 public:
  /// The node announces that it leaves, and serves on.
  auto BeginLeave() -> void { leaving_ = true; }
  /// The node issues no further tickets, since their start window would end after its refusals
  /// begin.
  auto StopTickets() -> void { issues_tickets_ = false; }
  /// The node refuses new work and finishes what is in flight.
  auto BeginRefusal() -> void { refusing_ = true; }

  auto is_leaving() const -> bool { return leaving_; }
  auto issues_tickets() const -> bool { return issues_tickets_; }
  auto is_refusing() const -> bool { return refusing_; }

 private:
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> issues_tickets_ = true;
  std::atomic<bool> refusing_ = false;
};

}  // namespace heatherspan
