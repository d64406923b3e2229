#include "tickets/ticket_table.h"

#include <chrono>
#include <utility>

namespace heatherspan {
namespace {

// Two threads may read the clock in a different order than they enter the table.
constexpr Duration kClockReadSkew = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kTableFullRetryAfter{1000};

auto Refuse(Verdict verdict, Reason reason) -> TicketDecision {
  TicketDecision decision;
  decision.action = TicketDecision::Action::kRefuse;
  decision.refusal = Refusal{verdict, reason, std::nullopt};
  return decision;
}

}  // namespace

TicketTable::TicketTable(InstanceId self, TicketLimits limits) : self_(self), limits_(limits) {}

auto TicketTable::Begin(const Ticket& ticket, const RequestFingerprint& fingerprint,
                        MonotonicTime now) -> TicketDecision {
  RemoveExpired(now);
  if (ticket.owner != self_) return Refuse(Verdict::kMayHaveRun, Reason::kTicketOwnerGone);
  const Key key{ticket.issued, ticket.nonce};
  if (const auto found = records_.find(key); found != records_.end()) {
    return DecideDuplicate(found->second, fingerprint);
  }
  const auto age = now - ticket.issued;
  if (age < -kClockReadSkew) return Refuse(Verdict::kNotRun, Reason::kTicketInvalid);
  if (age > limits_.record_lifetime) return Refuse(Verdict::kMayHaveRun, Reason::kTicketExpired);
  if (age > limits_.start_window) return Refuse(Verdict::kNotRun, Reason::kTicketExpired);
  if (records_.size() >= limits_.max_records) {
    auto decision = Refuse(Verdict::kNotRun, Reason::kTicketTableFull);
    decision.refusal.retry_after = kTableFullRetryAfter;
    return decision;
  }
  records_.emplace(key, Record{fingerprint, true, {}, nullptr});
  TicketDecision decision;
  decision.action = TicketDecision::Action::kStart;
  decision.send_deadline = ticket.issued + limits_.start_window;
  return decision;
}

auto TicketTable::DecideDuplicate(const Record& record, const RequestFingerprint& fingerprint) const
    -> TicketDecision {
  // The request that may have run is the recorded one. This other request with the same ticket has
  // not run.
  if (record.fingerprint != fingerprint) return Refuse(Verdict::kNotRun, Reason::kTicketInvalid);
  TicketDecision decision;
  if (record.running) {
    decision.action = TicketDecision::Action::kWait;
    return decision;
  }
  decision.action = TicketDecision::Action::kReplay;
  decision.outcome = record.outcome;
  decision.response = record.response;
  return decision;
}

auto TicketTable::Finish(const Ticket& ticket, const TicketOutcome& outcome,
                         std::shared_ptr<const SavedResponse> response, MonotonicTime now) -> bool {
  const auto found = records_.find(Key{ticket.issued, ticket.nonce});
  if (ticket.owner != self_ || found == records_.end() || !found->second.running) return false;
  if (outcome.verdict == Verdict::kNotRun) {
    records_.erase(found);
    return true;
  }
  auto& record = found->second;
  record.running = false;
  record.outcome = outcome;
  const auto size = response == nullptr ? 0 : response->Size();
  const bool fits = size <= limits_.max_saved_response_bytes &&
                    size <= limits_.max_total_saved_bytes - saved_bytes_;
  if (response != nullptr && fits) {
    record.response = std::move(response);
    saved_bytes_ += size;
  }
  RemoveExpired(now);
  return true;
}

auto TicketTable::Status(const Ticket& ticket, MonotonicTime now) const -> TicketStatus {
  TicketStatus status;
  if (ticket.owner != self_) {
    status.outcome.reason = Reason::kTicketOwnerGone;
    return status;
  }
  const auto found = records_.find(Key{ticket.issued, ticket.nonce});
  if (found != records_.end()) {
    status.known = true;
    status.running = found->second.running;
    status.outcome = found->second.outcome;
    return status;
  }
  const auto age = now - ticket.issued;
  if (age <= limits_.start_window) return status;
  status.outcome.reason = Reason::kTicketExpired;
  if (age > limits_.record_lifetime) return status;
  status.known = true;
  status.outcome.verdict = Verdict::kNotRun;
  return status;
}

auto TicketTable::RemoveExpired(MonotonicTime now) -> void {
  auto next = records_.begin();
  while (next != records_.end() && now - next->first.first > limits_.record_lifetime) {
    // The record of a running request stays, so that a duplicate waits for its result.
    if (next->second.running) {
      ++next;
      continue;
    }
    if (next->second.response != nullptr) saved_bytes_ -= next->second.response->Size();
    next = records_.erase(next);
  }
}

}  // namespace heatherspan
