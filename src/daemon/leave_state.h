#pragma once

#include <atomic>

namespace heatherspan {

/// The progress of this node's planned stop. Thread-safe.
class LeaveState {
 public:
  /// The node announces that it is leaving, and continues to serve.
  auto BeginLeave() -> void { leaving_ = true; }
  /// The node issues no further tickets, because their start window would end after the node begins
  /// to refuse requests.
  auto StopTickets() -> void { issues_tickets_ = false; }
  /// The node refuses new requests and completes those in flight.
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
