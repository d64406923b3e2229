#include <gmock/gmock.h>

#include "soak/promise_ledger_fixture.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

/// A request sent then reaches the region 100 ms later. The homes have moved to the west 10 s
/// before the start, and to the north at the start.
class MovedHomesTest : public PromiseLedgerTest {
 protected:
  MovedHomesTest() {
    facts_.services = {{"home", "alpha"}};
    PutHome("west", -seconds(10));
    PutHome("north", Duration::zero());
  }

  auto PutHome(const std::string& region, Duration at) -> void {
    facts_.regions = {{"home", region}};
    ledger_.OnPolicy(facts_, kLedgerStart + at);
  }

  auto Reach(const std::string& region, Duration sent, Duration taken = milliseconds(100)) -> void {
    const auto id = std::to_string(++sent_);
    Send(id, "home", sent);
    change_ = [&](SeenArrival& arrival) {
      arrival.region = region;
      arrival.misdirected = is_misdirected_;
    };
    Arrive(id, "home", sent + taken);
  }

  PolicyFacts facts_;
  bool is_misdirected_ = false;

 private:
  int sent_ = 0;
};

TEST_F(MovedHomesTest, SeesARequestAtAFormerHome) {
  Reach("west", milliseconds(2501));
  EXPECT_THAT(Broken(), ElementsAre("HOME"));
}

TEST_F(MovedHomesTest, SeesThatOfAGatewayOutOfTouch) {
  ledger_.troubles().Add(TroubleLog::kStore, TroubleLog::Kind::kUnplanned, kLedgerStart,
                         kLedgerStart + seconds(9));
  ledger_.troubles().Add("edge", TroubleLog::Kind::kUnplanned, kLedgerStart,
                         kLedgerStart + seconds(9));
  Reach("west", seconds(3));
  EXPECT_THAT(Broken(), ElementsAre("HOME"));
}

TEST_F(MovedHomesTest, SeesARequestThatItsTargetRefuses) {
  arrives_to_run_ = false;
  Reach("west", seconds(3));
  EXPECT_THAT(Broken(), ElementsAre("HOME"));
}

TEST_F(MovedHomesTest, SeesARequestAtAHomeBeforeTheLast) {
  Reach("east", milliseconds(100));
  EXPECT_THAT(Broken(), ElementsAre("HOME"));
}

TEST_F(MovedHomesTest, SeesARequestAtAHomeThatIsYetToCome) {
  Reach("north", -milliseconds(200));
  EXPECT_THAT(Broken(), ElementsAre("HOME"));
}

// The version that was in force as it was sent, and one that came on the way.
TEST_F(MovedHomesTest, AllowsHomesFromSendingToArrival) {
  Reach("west", milliseconds(2499), seconds(4));
  Reach("north", -milliseconds(50));
  EXPECT_THAT(Broken(), IsEmpty());
  EXPECT_EQ(ledger_.home_counts().arrivals, 2);
  EXPECT_EQ(ledger_.home_counts().former_homes, 1);
}

TEST_F(MovedHomesTest, CountsWhatWasMeantForAnotherInstance) {
  is_misdirected_ = true;
  arrives_to_run_ = false;
  Reach("east", seconds(3));
  EXPECT_THAT(Broken(), IsEmpty());
  EXPECT_EQ(ledger_.home_counts().misdirected, 1);
}

// A version without the route says nothing of its homes.
TEST_F(MovedHomesTest, SeesAFormerHomeOfARouteThatWasTakenAway) {
  ledger_.OnPolicy({}, kLedgerStart + seconds(5));
  Reach("west", seconds(6));
  EXPECT_THAT(Broken(), ElementsAre("HOME"));
}

}  // namespace
}  // namespace heatherspan
