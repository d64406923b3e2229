#include "tickets/ticket_table.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "base/number_text.h"
#include "base/random.h"

namespace heatherspan {
namespace {

using Action = TicketDecision::Action;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(1'000)};
constexpr InstanceId kSelf{7};
constexpr TicketOutcome kRan{Verdict::kRan, Reason::kNone, 201};
constexpr TicketOutcome kNotRun{Verdict::kNotRun, Reason::kTargetBusy, 0};

auto MakeTicket(std::uint64_t nonce) -> Ticket { return Ticket{kSelf, NodeName("n"), kNow, nonce}; }

auto Fingerprint(const std::string& body) -> RequestFingerprint {
  return FingerprintRequest("POST", ServiceName("ledger"), "/approve", body);
}

auto Response(std::size_t bytes) -> std::shared_ptr<const SavedResponse> {
  return std::make_shared<SavedResponse>(SavedResponse{{}, std::string(bytes, 'x')});
}

TEST(TicketTable, RunsARequestOnceAndReplaysItsResponse) {
  TicketTable table(kSelf);
  const auto ticket = MakeTicket(1);
  const auto start = table.Begin(ticket, Fingerprint("a"), kNow + seconds(1));
  ASSERT_EQ(start.action, Action::kStart);
  EXPECT_EQ(start.send_deadline, kNow + seconds(10));
  EXPECT_EQ(table.Begin(ticket, Fingerprint("a"), kNow + seconds(2)).action, Action::kWait);
  EXPECT_TRUE(table.Status(ticket, kNow + seconds(2)).running);
  EXPECT_TRUE(table.Finish(ticket, kRan, Response(3), kNow + seconds(3)));
  const auto duplicate = table.Begin(ticket, Fingerprint("a"), kNow + seconds(600));
  ASSERT_EQ(duplicate.action, Action::kReplay);
  EXPECT_EQ(duplicate.outcome, kRan);
  EXPECT_EQ(duplicate.response->body, "xxx");
  EXPECT_FALSE(table.Finish(ticket, kNotRun, nullptr, kNow + seconds(4)));
}

// Guards against a caller that reuses a ticket: it must neither get the response to another request
// nor run a second request.
TEST(TicketTable, RefusesAnotherRequestWithAUsedTicket) {
  TicketTable table(kSelf);
  const auto ticket = MakeTicket(1);
  table.Begin(ticket, Fingerprint("a"), kNow);
  const Refusal expected{Verdict::kNotRun, Reason::kTicketInvalid, std::nullopt};
  EXPECT_EQ(table.Begin(ticket, Fingerprint("b"), kNow).refusal, expected);
  table.Finish(ticket, kRan, Response(3), kNow);
  const auto decision = table.Begin(ticket, Fingerprint("b"), kNow);
  EXPECT_EQ(decision.action, Action::kRefuse);
  EXPECT_EQ(decision.refusal, expected);
}

TEST(TicketTable, StartsAgainAfterNotRunOnlyWithinTheStartWindow) {
  TicketTable table(kSelf);
  const auto ticket = MakeTicket(1);
  table.Begin(ticket, Fingerprint("a"), kNow);
  table.Finish(ticket, kNotRun, nullptr, kNow + seconds(1));
  EXPECT_EQ(table.Begin(ticket, Fingerprint("a"), kNow + seconds(10)).action, Action::kStart);
  table.Finish(ticket, kNotRun, nullptr, kNow + seconds(11));
  const auto late = table.Begin(ticket, Fingerprint("a"), kNow + seconds(11));
  EXPECT_EQ(late.refusal, (Refusal{Verdict::kNotRun, Reason::kTicketExpired, std::nullopt}));
}

TEST(TicketTable, DecidesByAgeWithoutARecord) {
  struct Case {
    Duration age;
    Action action;
    Verdict verdict;
    Reason reason;
    TicketStatus status;
  };
  const TicketStatus open{};
  const TicketStatus not_run{true, false, {Verdict::kNotRun, Reason::kTicketExpired, 0}};
  const TicketStatus too_old{false, false, {Verdict::kMayHaveRun, Reason::kTicketExpired, 0}};
  const Case cases[] = {
      {seconds(-2), Action::kRefuse, Verdict::kNotRun, Reason::kTicketInvalid, open},
      {seconds(10), Action::kStart, Verdict::kNotRun, Reason::kNone, open},
      {milliseconds(10'001), Action::kRefuse, Verdict::kNotRun, Reason::kTicketExpired, not_run},
      {seconds(600), Action::kRefuse, Verdict::kNotRun, Reason::kTicketExpired, not_run},
      {milliseconds(600'001), Action::kRefuse, Verdict::kMayHaveRun, Reason::kTicketExpired,
       too_old},
  };
  for (const auto& c : cases) {
    TicketTable table(kSelf);
    EXPECT_EQ(table.Status(MakeTicket(1), kNow + c.age), c.status) << c.age.count();
    const auto decision = table.Begin(MakeTicket(1), Fingerprint("a"), kNow + c.age);
    EXPECT_EQ(decision.action, c.action) << c.age.count();
    EXPECT_EQ(decision.refusal.verdict, c.verdict) << c.age.count();
    EXPECT_EQ(decision.refusal.reason, c.reason) << c.age.count();
  }
}

// Guards against "not run" for a request that ran before a restart: a restarted process has no
// records of its previous instance.
TEST(TicketTable, NeverReportsNotRunForTicketsOfAnotherInstance) {
  TicketTable table(InstanceId(8));
  const Refusal expected{Verdict::kMayHaveRun, Reason::kTicketOwnerGone, std::nullopt};
  EXPECT_EQ(table.Begin(MakeTicket(1), Fingerprint("a"), kNow).refusal, expected);
  EXPECT_FALSE(table.Status(MakeTicket(1), kNow + seconds(20)).known);
}

TEST(TicketTable, BoundsRecordsAndSavedBytesWithoutEvicting) {
  TicketLimits limits;
  limits.max_records = 3;
  limits.max_total_saved_bytes = 250;
  limits.max_saved_response_bytes = 200;
  TicketTable table(kSelf, limits);
  for (std::uint64_t nonce = 1; nonce <= 3; ++nonce) {
    EXPECT_EQ(table.Begin(MakeTicket(nonce), Fingerprint("a"), kNow).action, Action::kStart);
  }
  table.Finish(MakeTicket(1), kRan, Response(200), kNow);
  table.Finish(MakeTicket(2), kRan, Response(100), kNow);
  table.Finish(MakeTicket(3), kRan, Response(100), kNow);
  EXPECT_LE(table.saved_bytes(), 250);
  EXPECT_EQ(table.Begin(MakeTicket(1), Fingerprint("a"), kNow).response, nullptr);
  EXPECT_NE(table.Begin(MakeTicket(2), Fingerprint("a"), kNow).response, nullptr);
  EXPECT_EQ(table.Begin(MakeTicket(3), Fingerprint("a"), kNow).outcome, kRan);
  EXPECT_EQ(table.Begin(MakeTicket(4), Fingerprint("a"), kNow).refusal,
            (Refusal{Verdict::kNotRun, Reason::kTicketTableFull, milliseconds(1'000)}));
  auto new_ticket = MakeTicket(5);
  new_ticket.issued = kNow + seconds(601);
  EXPECT_EQ(table.Begin(new_ticket, Fingerprint("a"), kNow + seconds(601)).action, Action::kStart);
  EXPECT_EQ(table.records(), 1);
  EXPECT_EQ(table.saved_bytes(), 0);
}

// Guards against a request that is sent twice without a "not run" in between, and against a final
// "not run" for a request that ran. Duplicates, outcomes and pauses between decision and sending
// are random.
TEST(TicketTable, RunsAtMostOnceUnderRandomDuplicates) {
  const char* fixed = std::getenv("HS_SEED");
  const auto first = fixed == nullptr ? 1 : ParseNumber<std::uint64_t>(fixed).value_or(1);
  const auto last = fixed == nullptr ? 20 : first;
  for (auto seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("HS_SEED=" + std::to_string(seed));
    Random random(seed);
    TicketTable table(kSelf);
    std::map<std::uint64_t, int> runs;
    std::map<std::uint64_t, std::pair<Ticket, MonotonicTime>> running;
    auto now = kNow;
    for (int step = 0; step < 4'000; ++step) {
      now += milliseconds(random() % 1'000);
      const auto nonce = random() % 400;
      auto ticket = MakeTicket(nonce);
      ticket.issued = kNow + seconds(nonce * 4);
      if (ticket.issued > now) continue;
      const auto decision = table.Begin(ticket, Fingerprint("a"), now);
      if (decision.action == Action::kStart) running[nonce] = {ticket, decision.send_deadline};
      const bool not_run = decision.action == Action::kRefuse &&
                           decision.refusal.reason == Reason::kTicketExpired &&
                           decision.refusal.verdict == Verdict::kNotRun;
      EXPECT_FALSE(not_run && runs[nonce] > 0);
      if (running.empty() || random() % 3 == 0) continue;
      const auto [started, send_deadline] = running.begin()->second;
      running.erase(running.begin());
      const auto finished_nonce = started.nonce;
      const bool paused = now > send_deadline;
      const auto outcome = paused || random() % 2 == 0 ? kNotRun : kRan;
      runs[finished_nonce] += outcome == kRan ? 1 : 0;
      EXPECT_LE(runs[finished_nonce], 1);
      EXPECT_TRUE(table.Finish(started, outcome, Response(1), now));
    }
  }
}

}  // namespace
}  // namespace heatherspan
