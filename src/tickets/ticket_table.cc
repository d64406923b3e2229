#include "tickets/ticket_table.h"

#include <chrono>
#include <utility>

namespace heatherspan {
namespace {

// Two threads may read the clock in another order than that in which they reach the table.
constexpr Duration kClockReadSkew = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kTableFullRetry{1000};

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
  RemoveOld(now);
  if (ticket.owner != self_) return Refuse(Verdict::kMayHaveRun, Reason::kTicketOwnerGone);
  const Key key{ticket.issued, ticket.nonce};
  if (const auto found = records_.find(key); found != records_.end()) {
    return Repeat(found->second, fingerprint);
  }
  const auto age = now - ticket.issued;
  if (age < -kClockReadSkew) return Refuse(Verdict::kNotRun, Reason::kTicketInvalid);
  if (age > limits_.record_life) return Refuse(Verdict::kMayHaveRun, Reason::kTicketExpired);
  if (age > limits_.start_window) return Refuse(Verdict::kNotRun, Reason::kTicketExpired);
  if (records_.size() >= limits_.max_records) {
    auto decision = Refuse(Verdict::kNotRun, Reason::kTicketTableFull);
    decision.refusal.retry_after = kTableFullRetry;
    return decision;
  }
  records_.emplace(key, Record{fingerprint, true, {}, nullptr});
  TicketDecision decision;
  decision.action = TicketDecision::Action::kStart;
  decision.send_by = ticket.issued + limits_.start_window;
  return decision;
}

auto TicketTable::Repeat(const Record& record, const RequestFingerprint& fingerprint) const
    -> TicketDecision {
  // The other request is the one that may have run; this one has not.
  if (record.fingerprint != fingerprint) return Refuse(Verdict::kNotRun, Reason::kTicketInvalid);
  TicketDecision decision;
  if (record.running) {
    decision.action = TicketDecision::Action::kWait;
    return decision;
  }
  decision.action = TicketDecision::Action::kAnswer;
  decision.outcome = record.outcome;
  decision.answer = record.answer;
  return decision;
}

auto TicketTable::Finish(const Ticket& ticket, const TicketOutcome& outcome,
                         std::shared_ptr<const SavedAnswer> answer, MonotonicTime now) -> bool {
  const auto found = records_.find(Key{ticket.issued, ticket.nonce});
  if (ticket.owner != self_ || found == records_.end() || !found->second.running) return false;
  if (outcome.verdict == Verdict::kNotRun) {
    records_.erase(found);
    return true;
  }
  auto& record = found->second;
  record.running = false;
  record.outcome = outcome;
  const auto size = answer == nullptr ? 0 : answer->Size();
  const bool fits =
      size <= limits_.max_answer_bytes && size <= limits_.max_saved_bytes - saved_bytes_;
  if (answer != nullptr && fits) {
    record.answer = std::move(answer);
    saved_bytes_ += size;
  }
  RemoveOld(now);
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
  if (age > limits_.record_life) return status;
  status.known = true;
  status.outcome.verdict = Verdict::kNotRun;
  return status;
}

auto TicketTable::RemoveOld(MonotonicTime now) -> void {
  auto next = records_.begin();
  while (next != records_.end() && now - next->first.first > limits_.record_life) {
    // A running request keeps its record, so that a repeat still waits for its result.
    if (next->second.running) {
      ++next;
      continue;
    }
    if (next->second.answer != nullptr) saved_bytes_ -= next->second.answer->Size();
    next = records_.erase(next);
  }
}

}  // namespace heatherspan
