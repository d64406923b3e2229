#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "tickets/request_fingerprint.h"
#include "tickets/saved_response.h"
#include "tickets/ticket.h"
#include "tickets/ticket_decision.h"
#include "tickets/ticket_limits.h"
#include "tickets/ticket_outcome.h"
#include "tickets/ticket_status.h"

namespace heatherspan {

/// The owner's records of the tickets that it issued and whose requests have started. A record is
/// created before the start of the request and is never removed within the record lifetime unless
/// the request has not run. Within the record lifetime, a missing record therefore proves that the
/// request has not run.
///
/// Not thread-safe.
class TicketTable {
 public:
  explicit TicketTable(InstanceId self, TicketLimits limits = {});

  /// Decides whether to start a request with the ticket. The fingerprint is that of the request.
  auto Begin(const Ticket& ticket, const RequestFingerprint& fingerprint, MonotonicTime now)
      -> TicketDecision;

  /// Records the end of a started request. For the verdict "not run" the record is removed, so that
  /// a request with the ticket may start again within the start window. Otherwise the outcome is
  /// kept, and the response as well if it is within the limits. Returns false if the ticket has no
  /// running request.
  auto Finish(const Ticket& ticket, const TicketOutcome& outcome,
              std::shared_ptr<const SavedResponse> response, MonotonicTime now) -> bool;

  /// Within the start window, the status of a ticket without a record is unknown, because its
  /// request may still start.
  auto Status(const Ticket& ticket, MonotonicTime now) const -> TicketStatus;

  auto records() const -> std::size_t { return records_.size(); }
  auto saved_bytes() const -> std::size_t { return saved_bytes_; }

 private:
  /// Issue time and nonce. By this order the oldest records come first and expire first.
  using Key = std::pair<MonotonicTime, std::uint64_t>;
  struct Record {
    RequestFingerprint fingerprint{};
    bool running = true;
    TicketOutcome outcome;
    std::shared_ptr<const SavedResponse> response;
  };

  auto DecideDuplicate(const Record& record, const RequestFingerprint& fingerprint) const
      -> TicketDecision;
  auto RemoveExpired(MonotonicTime now) -> void;

  InstanceId self_;
  TicketLimits limits_;
  std::map<Key, Record> records_;
  std::size_t saved_bytes_ = 0;
};

}  // namespace heatherspan
