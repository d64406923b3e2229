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

/// The owner's records of the tickets that it issued and whose requests have started. A missing
/// record of a ticket within its life proves that the request has not run: a record is made before
/// the start and never removed while the ticket could still be asked about.
///
/// Not thread-safe.
class TicketTable {
 public:
  explicit TicketTable(InstanceId self, TicketLimits limits = {});

  /// Decides about a request that carries the ticket. The fingerprint must be that of the request.
  auto Begin(const Ticket& ticket, const RequestFingerprint& fingerprint, MonotonicTime now)
      -> TicketDecision;

  /// Ends a started request. With the verdict "not run" the record is removed, so that the ticket
  /// may start again within its window; otherwise outcome and answer are kept. Returns false if
  /// the ticket has no running request.
  auto Finish(const Ticket& ticket, const TicketOutcome& outcome,
              std::shared_ptr<const SavedResponse> response, MonotonicTime now) -> bool;

  /// Within the start window, a ticket without record is not known: its request may yet start.
  auto Status(const Ticket& ticket, MonotonicTime now) const -> TicketStatus;

  auto records() const -> std::size_t { return records_.size(); }
  auto saved_bytes() const -> std::size_t { return saved_bytes_; }

 private:
  /// Issue time and nonce; ordered so that the records to remove come first.
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
