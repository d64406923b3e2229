#include <gmock/gmock.h>

#include "soak/promise_ledger_fixture.h"

namespace heatherspan {
namespace {

constexpr const char* kHarmfulTarget = "/read/harmful/20";

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Pair;

TEST_F(PromiseLedgerTest, ASoundExchangeBreaksNothing) {
  Send("1");
  Arrive("1");
  ledger_.OnWorkEnd("1", kLedgerStart + milliseconds(50));
  Answer("1", 200, milliseconds(60), "i-1");
  EXPECT_THAT(BrokenAtTheEnd(), IsEmpty());
}

TEST_F(PromiseLedgerTest, SeesAnAnswerWithoutSignature) {
  Send("1");
  Answer("1", 200);
  EXPECT_THAT(Broken(), ElementsAre("MIXED"));
}

TEST_F(PromiseLedgerTest, SeesATruncatedBody) {
  Send("1");
  ledger_.OnAnswer("1", {200, "1", "i-1", "i-1:1:"}, kLedgerStart);
  EXPECT_THAT(Broken(), ElementsAre("MIXED"));
}

TEST_F(PromiseLedgerTest, SeesAnAnswerToAnotherRequest) {
  Send("1");
  ledger_.OnAnswer("1", {503, "2", "", ""}, kLedgerStart);
  EXPECT_THAT(Broken(), ElementsAre("MIXED"));
}

TEST_F(PromiseLedgerTest, SeesARequestThatNobodySent) {
  Arrive("1");
  EXPECT_THAT(Broken(), ElementsAre("UNASKED"));
}

TEST_F(PromiseLedgerTest, SeesAChangedBody) {
  Send("1");
  change_ = [](SeenArrival& arrival) { arrival.body = "more"; };
  Arrive("1");
  EXPECT_THAT(Broken(), ElementsAre("UNASKED"));
}

TEST_F(PromiseLedgerTest, SeesASecondRun) {
  Send("1");
  Arrive("1");
  Arrive("1", "book", milliseconds(10), "i-2");
  EXPECT_THAT(Broken(), ElementsAre("TWICE"));
}

TEST_F(PromiseLedgerTest, SeesARefusalAfterARun) {
  Send("1");
  Arrive("1");
  Answer("1", 503);
  EXPECT_THAT(Broken(), ElementsAre("REFUSED"));
}

TEST_F(PromiseLedgerTest, SeesARunAfterARefusal) {
  Send("1");
  Answer("1", 429);
  Arrive("1", "book", milliseconds(200));
  EXPECT_THAT(Broken(), ElementsAre("REFUSED"));
}

TEST_F(PromiseLedgerTest, SeesADeniedRequest) {
  Send("1");
  Answer("1", 404);
  EXPECT_THAT(Broken(), ElementsAre("DENIED"));
}

// A gateway that can't read the store may not know a route that was added since.
TEST_F(PromiseLedgerTest, ADisturbedGatewayMayNotKnowANewRoute) {
  PolicyFacts facts;
  facts.services = {{"book", "beta"}, {"extra", "beta"}};
  ledger_.OnPolicy(facts, kLedgerStart - seconds(20));
  ledger_.troubles().Add(TroubleLog::kStore, TroubleLog::Kind::kUnplanned,
                         kLedgerStart - seconds(30), kLedgerStart + seconds(1));
  Send("1", "extra");
  Answer("1", 404);
  EXPECT_THAT(Broken(), IsEmpty());
  Send("2", "book");
  Answer("2", 404);
  EXPECT_THAT(Broken(), ElementsAre("DENIED"));
  Send("3", "extra", seconds(6));
  Answer("3", 404, seconds(6));
  EXPECT_THAT(Broken(), ElementsAre("DENIED", "DENIED"));
}

// Guards against near misses that a seed which holds does not show.
TEST_F(PromiseLedgerTest, CountsRejectionsByStatus) {
  ledger_.troubles().Add(TroubleLog::kStore, TroubleLog::Kind::kUnplanned,
                         kLedgerStart - seconds(30), kLedgerStart + seconds(1));
  for (const auto* id : {"1", "2"}) {
    Send(id, "extra");
    Answer(id, 404);
  }
  Send("3");
  Answer("3", 400);
  Send("4");
  Answer("4", 400, milliseconds(100), "i-1");
  Send("5");
  Answer("5", 429);
  Send("6", "read", {}, [](SentRequest& request) { request.target = kHarmfulTarget; });
  Answer("6", 400);
  EXPECT_THAT(ledger_.rejected(), ElementsAre(Pair(400, 1), Pair(404, 2)));
}

TEST_F(PromiseLedgerTest, SeesAServiceThatNoConfigurationAllows) {
  Send("1", "read");
  change_ = [](SeenArrival& arrival) { arrival.service = "beta"; };
  Arrive("1", "read");
  EXPECT_THAT(Broken(), ElementsAre("ROUTE"));
}

TEST_F(PromiseLedgerTest, SeesAnOldConfiguration) {
  PolicyFacts facts;
  facts.services = {{"moving", "beta"}};
  ledger_.OnPolicy(facts, kLedgerStart);
  Send("1", "moving", milliseconds(2400));
  Arrive("1", "moving", milliseconds(2410));
  EXPECT_THAT(Broken(), IsEmpty());
  Send("2", "moving", milliseconds(2600));
  Arrive("2", "moving", milliseconds(2610));
  EXPECT_THAT(Broken(), ElementsAre("CONFIG"));
}

TEST_F(PromiseLedgerTest, SeesAConfigurationThatGoesBack) {
  ledger_.OnConfigVersion("edge", 4);
  ledger_.OnConfigVersion("edge", 3);
  EXPECT_THAT(Broken(), ElementsAre("CONFIG"));
}

TEST_F(PromiseLedgerTest, SeesARequestOutsideItsRegion) {
  Send("1", "home");
  change_ = [](SeenArrival& arrival) { arrival.region = "west"; };
  Arrive("1", "home");
  EXPECT_THAT(Broken(), ElementsAre("HOME"));
}

TEST_F(PromiseLedgerTest, SeesWorkForALeavingTarget) {
  ledger_.OnLeaving("i-1", kLedgerStart);
  Send("1", "book", seconds(2));
  Arrive("1", "book", seconds(2));
  EXPECT_THAT(Broken(), IsEmpty());
  Send("2", "book", seconds(3));
  Arrive("2", "book", seconds(3));
  EXPECT_THAT(Broken(), ElementsAre("DRAIN"));
}

// The bounds in time hold only for what has been undisturbed for a while.
TEST_F(PromiseLedgerTest, ADisturbedGatewayMayBeLate) {
  ledger_.troubles().Add("edge", TroubleLog::Kind::kUnplanned, kLedgerStart,
                         kLedgerStart + seconds(1));
  ledger_.OnLeaving("i-1", kLedgerStart);
  Send("1", "book", seconds(4));
  Arrive("1", "book", seconds(4));
  EXPECT_THAT(Broken(), IsEmpty());
  Send("2", "book", seconds(6));
  Arrive("2", "book", seconds(6));
  EXPECT_THAT(Broken(), ElementsAre("DRAIN"));
}

TEST_F(PromiseLedgerTest, SeesWorkForAnEvacuatedZone) {
  ledger_.OnEvacuated("east-a", true, kLedgerStart);
  Send("1", "book", seconds(6));
  Arrive("1", "book", seconds(6));
  EXPECT_THAT(Broken(), ElementsAre("EVAC"));
}

TEST_F(PromiseLedgerTest, SeesALostRequest) {
  Send("1");
  Arrive("1");
  ledger_.OnConnectionEnd("1", kLedgerStart + milliseconds(20));
  EXPECT_THAT(Broken(), ElementsAre("LOST"));
}

TEST_F(PromiseLedgerTest, SeesARequestThatIsBrokenOffAtAStop) {
  ledger_.troubles().Add("edge", TroubleLog::Kind::kPlanned, kLedgerStart, kLedgerStart);
  ledger_.OnStopBegin("edge", kLedgerStart);
  Send("1");
  Arrive("1");
  Answer("1", 504, milliseconds(300));
  EXPECT_THAT(Broken(), ElementsAre("LOST"));
}

// Guards against a report of a loss where a target has refused the request in an answer that does
// not name it: the gateway can't tell whether it has run.
TEST_F(PromiseLedgerTest, ARequestThatItsTargetRefusedIsNotBrokenOffAtAStop) {
  ledger_.troubles().Add("edge", TroubleLog::Kind::kPlanned, kLedgerStart, kLedgerStart);
  ledger_.OnStopBegin("edge", kLedgerStart);
  Send("1");
  arrives_to_run_ = false;
  Arrive("1");
  Answer("1", 502, milliseconds(300));
  EXPECT_THAT(Broken(), IsEmpty());
}

TEST_F(PromiseLedgerTest, SeesAProcessThatEndsByItself) {
  ledger_.OnProcessEnd("edge", false, "signal 11");
  EXPECT_THAT(Broken(), ElementsAre("FAULT"));
}

TEST_F(PromiseLedgerTest, SeesAStopThatTakesTooLong) {
  ledger_.OnStopOverdue("edge");
  EXPECT_THAT(Broken(), ElementsAre("STOP"));
}

TEST_F(PromiseLedgerTest, SeesAStoppingProcessThatSaysItIsReady) {
  ledger_.OnStopBegin("edge", kLedgerStart);
  ledger_.OnReadyAnswer("edge", true, kLedgerStart + seconds(3));
  EXPECT_THAT(Broken(), IsEmpty());
  ledger_.OnReadyAnswer("edge", true, kLedgerStart + seconds(5));
  EXPECT_THAT(Broken(), ElementsAre("DRAIN"));
}

TEST_F(PromiseLedgerTest, SeesADirectoryThatNamesTheDead) {
  ledger_.OnProcessStart("gone", kLedgerStart);
  ledger_.OnProcessEnd("gone", true, "signal 9");
  const auto end = SystemClock().Now();
  for (int i = 0; i < 3; ++i) ledger_.OnDirectoryAnswer("edge", {"edge", "gone"}, end + seconds(8));
  EXPECT_THAT(Broken(), IsEmpty());
  ledger_.OnDirectoryAnswer("edge", {"edge", "gone"}, end + seconds(8));
  EXPECT_THAT(Broken(), ElementsAre("DRAIN"));
}

TEST_F(PromiseLedgerTest, SeesMoreRequestsThanALimitAllows) {
  ledger_.OnLimit("i-1", 1, kLedgerStart - seconds(10));
  const auto send = [this](int first, Duration at) {
    for (int i = first; i < first + 12; ++i) {
      Send(std::to_string(i), "read", at);
      Arrive(std::to_string(i), "read", at);
    }
  };
  send(0, {});
  EXPECT_THAT(Broken(), IsEmpty());  // The gateway has not been told.
  ledger_.OnLimitTold("i-1", "0", kLedgerStart);
  send(20, milliseconds(600));
  EXPECT_THAT(Broken(), ElementsAre("LIMIT"));
}

TEST_F(PromiseLedgerTest, SeesTooManyRequestsForAColdTarget) {
  change_ = [](SeenArrival& arrival) { arrival.cold = true; };
  for (int i = 0; i < 10; ++i) {
    Send(std::to_string(i), "read");
    Arrive(std::to_string(i), "read", milliseconds(50 * i));
  }
  EXPECT_THAT(Broken(), ElementsAre("FAILBACK"));
}

TEST_F(PromiseLedgerTest, SeesTooManyRepeats) {
  for (int i = 0; i < 30; ++i) {
    Send(std::to_string(i), "read");
    Arrive(std::to_string(i), "read");
    Arrive(std::to_string(i), "read", milliseconds(20), "i-2");
  }
  EXPECT_THAT(BrokenAtTheEnd(), ElementsAre("BUDGET"));
}

TEST_F(PromiseLedgerTest, SeesAttemptsWithMoreTimeThanIsLeft) {
  change_ = [](SeenArrival& arrival) { arrival.time_left = seconds(9); };
  for (int i = 0; i < 21; ++i) {
    Send(std::to_string(i), "read");
    Arrive(std::to_string(i), "read");
  }
  EXPECT_THAT(BrokenAtTheEnd(), ElementsAre("BUDGET"));
}

TEST_F(PromiseLedgerTest, SeesAnswersBeyondTheTimeout) {
  for (int i = 0; i < 8; ++i) {
    Send(std::to_string(i), "read");
    Answer(std::to_string(i), 504, milliseconds(2100));
  }
  EXPECT_THAT(BrokenAtTheEnd(), ElementsAre("CONFIG"));
}

TEST_F(PromiseLedgerTest, SeesWorkForCallersWhoHaveLeft) {
  work_ = seconds(1);
  for (int i = 0; i < 8; ++i) {
    Send(std::to_string(i), "read");
    Arrive(std::to_string(i), "read");
    ledger_.OnCallerGone(std::to_string(i), kLedgerStart + milliseconds(100));
    ledger_.OnWorkEnd(std::to_string(i), kLedgerStart + seconds(1));
  }
  EXPECT_THAT(BrokenAtTheEnd(), ElementsAre("GONE"));
}

TEST_F(PromiseLedgerTest, SeesRequestsOfCallersWhoHaveLeft) {
  for (int i = 0; i < 4; ++i) {
    Send(std::to_string(i), "read");
    ledger_.OnCallerGone(std::to_string(i), kLedgerStart);
    Arrive(std::to_string(i), "read", milliseconds(600));
  }
  EXPECT_THAT(BrokenAtTheEnd(), ElementsAre("GONE"));
}

TEST_F(PromiseLedgerTest, SeesRequestsToATargetThatSaidThatItLeaves) {
  Send("1");
  Arrive("1");
  ledger_.OnLeavingTold("i-1", "1", kLedgerStart + milliseconds(100));
  Send("2", "book", milliseconds(2500));
  Arrive("2", "book", milliseconds(2700));
  EXPECT_THAT(Broken(), testing::IsEmpty());
  Send("3", "book", milliseconds(2700));
  Arrive("3", "book", milliseconds(2710));
  EXPECT_THAT(Broken(), ElementsAre("DRAIN"));
}

TEST_F(PromiseLedgerTest, SeesRequestsToATargetThatWantsAPause) {
  Send("1");
  Arrive("1");
  ledger_.OnPauseTold("i-1", "1", kLedgerStart + seconds(2), kLedgerStart);
  for (int i = 2; i < 6; ++i) {
    Send(std::to_string(i), "book", milliseconds(300 * i));
    Arrive(std::to_string(i), "book", milliseconds(300 * i));
    EXPECT_EQ(Broken().size(), i < 4 ? 0U : 1U) << i;
  }
  EXPECT_THAT(Broken(), ElementsAre("BUDGET"));
}

TEST_F(PromiseLedgerTest, SeesARequestThatEndsTargetsWithoutEnd) {
  const auto send = [&](int number, Duration at) {
    const auto id = std::to_string(number);
    Send(id, "read", at, [](SentRequest& request) { request.target = kHarmfulTarget; });
    change_ = [](SeenArrival& arrival) { arrival.target = kHarmfulTarget; };
    Arrive(id, "read", at, "i-" + id);
  };
  for (int i = 0; i < 6; ++i) send(i, milliseconds(i));
  for (int i = 6; i < 9; ++i) send(i, seconds(i));
  EXPECT_THAT(Broken(), IsEmpty());
  send(9, seconds(9));
  EXPECT_THAT(Broken(), ElementsAre("BUDGET"));
}

TEST_F(PromiseLedgerTest, SeesAGatewayWithoutTargetsThatServesLess) {
  const auto at_other = [](SentRequest& request) { request.gateway = "other"; };
  ledger_.OnProcessStart("other", kLedgerStart - seconds(100));
  ledger_.OnStranded("edge", true, kLedgerStart - seconds(5));
  for (int i = 0; i < 30; ++i) {
    const auto id = std::to_string(i);
    Send(id, "read");
    Answer(id, i % 2 == 0 ? 200 : 503, milliseconds(100), i % 2 == 0 ? "i-1" : "");
    Send("o" + id, "read", {}, at_other);
    Answer("o" + id, 200, milliseconds(100), "i-1");
  }
  EXPECT_THAT(BrokenAtTheEnd(), ElementsAre("RECOVER"));
}

TEST_F(PromiseLedgerTest, SeesAServiceThatDoesNotRecover) {
  ledger_.OnRecovered(kLedgerStart);
  for (int i = 0; i < 8; ++i) {
    Send(std::to_string(i), "read", milliseconds(1));
    Arrive(std::to_string(i), "read", milliseconds(2));
    Answer(std::to_string(i), 502, milliseconds(10));
  }
  EXPECT_THAT(BrokenAtTheEnd(), ElementsAre("RECOVER"));
}

}  // namespace
}  // namespace heatherspan
