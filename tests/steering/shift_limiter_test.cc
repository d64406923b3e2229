#include "steering/shift_limiter.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

#include "base/random.h"
#include "scenario.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr double kCap = 0.2;
constexpr Duration kInterval = seconds(10);
constexpr Duration kStep = kInterval / ShiftHistory::kBins;

/// A request and the region that it was sent to; the region is empty after a refusal.
struct Sent {
  MonotonicTime time;
  std::string region;
};

/// The fractions by region of the requests in (from, to].
auto Fractions(const std::vector<Sent>& log, MonotonicTime from, MonotonicTime to, int& requests)
    -> std::map<std::string, double> {
  std::map<std::string, double> fractions;
  requests = 0;
  for (const auto& sent : log) {
    if (sent.time <= from || sent.time > to) continue;
    ++requests;
    if (!sent.region.empty()) fractions[sent.region] += 1;
  }
  for (auto& [region, count] : fractions) count /= requests;
  return fractions;
}

/// The growth of the fractions from the window that ends at `from` to the window that ends at `to`:
/// the sum over all regions, and the growth of `region`.
struct Growth {
  double sum = 0;
  double of_region = 0;
  int requests = 0;
};

auto GrowthOf(const std::vector<Sent>& log, const std::string& region, MonotonicTime before,
              MonotonicTime from, MonotonicTime to) -> Growth {
  Growth growth;
  auto previous = Fractions(log, before, from, growth.requests);
  // Requests that were not sent to another region have not been shifted.
  previous["a"] = 1 - previous["b"] - previous["c"];
  for (const auto& [name, fraction] : Fractions(log, from, to, growth.requests)) {
    const double grown = std::max(0.0, fraction - previous[name]);
    growth.sum += grown;
    if (name == region) growth.of_region = grown;
  }
  return growth;
}

class ShiftLimiterTest : public testing::Test {
 protected:
  ShiftLimiterTest() { limiter_.Configure(document_); }

  /// Sends one request to the first region in the list that admits it.
  auto Send(const std::vector<std::string>& regions) -> std::string {
    limiter_.OnRequest(desk_, client_region_, now_);
    std::string sent;
    for (const auto& region : regions) {
      if (limiter_.Admit(desk_, client_region_, RegionName(region), now_).has_value()) continue;
      sent = region;
      break;
    }
    log_.push_back({now_, sent});
    return sent;
  }
  /// Sends one request per `pause` and returns the numbers of requests by region.
  auto Run(Duration time, Duration pause, const std::vector<std::string>& regions)
      -> std::map<std::string, int> {
    std::map<std::string, int> counts;
    for (const auto end = now_ + time; now_ < end; now_ += pause) ++counts[Send(regions)];
    return counts;
  }
  /// The start of the limiter's step that contains `time`. The first request starts the first step.
  auto StepStart(MonotonicTime time) -> MonotonicTime {
    return log_.front().time + (time - log_.front().time) / kStep * kStep;
  }
  /// Checks the cap in the window that ends at each request that adds to the growth. The windows
  /// start at the steps of the limiter.
  auto CheckWindowsAtDecisions() -> void {
    for (std::size_t i = 0; i < log_.size(); ++i) {
      if (log_[i].region.empty()) continue;
      const std::vector<Sent> known(log_.begin(),
                                    log_.begin() + static_cast<std::ptrdiff_t>(i) + 1);
      const auto from = StepStart(log_[i].time) - kInterval + kStep - Duration(1);
      const auto growth = GrowthOf(known, log_[i].region, from - kInterval, from, log_[i].time);
      if (growth.of_region <= 1e-6) continue;
      ASSERT_LE(growth.sum, kCap + 1e-6) << "request " << i << " of " << log_.size();
    }
  }

  Document document_ = TestDocument();
  ShiftLimiter limiter_;
  const ServiceName desk_{"desk"};
  const RegionName client_region_{"a"};
  MonotonicTime now_ = kStart;
  std::vector<Sent> log_;
};

// Guards against a shift above the cap when a region is lost, also with a shift to two other
// regions and in windows that do not start with the shift.
TEST_F(ShiftLimiterTest, KeepsTheCapInEveryWindowOfSteadyTraffic) {
  Run(seconds(23), milliseconds(50), {"a"});
  Run(seconds(60), milliseconds(50), {"b", "c"});
  CheckWindowsAtDecisions();
  for (auto end = kStart + seconds(20); end < now_; end += milliseconds(170)) {
    const auto growth = GrowthOf(log_, "", end - 2 * kInterval, end - kInterval, end);
    ASSERT_LE(growth.sum, kCap + 1e-6) << (end - kStart).count();
  }
}

// Guards against a limiter that never admits all the traffic of a lost region to other regions.
TEST_F(ShiftLimiterTest, ReachesAFullShiftInAFewIntervals) {
  Run(seconds(20), milliseconds(50), {"a"});
  const auto first = Run(kInterval, milliseconds(50), {"b"});
  EXPECT_NEAR(first.at("b"), 34, 2);  // 0.85 x 20% of 200 requests.
  Run(seconds(60), milliseconds(50), {"b"});
  EXPECT_EQ(Run(kInterval, milliseconds(50), {"b"}).count(""), 0U);
}

// Guards against an allowance that the first requests of an interval use up.
TEST_F(ShiftLimiterTest, SpreadsTheShiftOverTheInterval) {
  Run(seconds(20), milliseconds(10), {"a"});
  // The credit of one request may remain from the time before.
  EXPECT_NEAR(Run(seconds(1), milliseconds(10), {"b"}).at("b"), 17, 1);
}

// Guards against a shift of the first requests after a start, when a fraction of few requests is
// not meaningful.
TEST_F(ShiftLimiterTest, KeepsTheCapRightAfterTheStart) {
  EXPECT_EQ(Run(milliseconds(200), milliseconds(50), {"b"}).count("b"), 0U);
  Run(seconds(20), milliseconds(50), {"b"});
  CheckWindowsAtDecisions();
}

// Guards against rounding up at low request counts: one of four requests would be 25%.
TEST_F(ShiftLimiterTest, ShiftsNothingWhereTheCapIsLessThanOneRequest) {
  EXPECT_EQ(Run(seconds(200), milliseconds(2500), {"b"}).count("b"), 0U);
  EXPECT_EQ(Run(seconds(200), milliseconds(2500), {"a"}).count(""), 0U);
}

// Guards against a shift above the cap with irregular arrivals, mixed demand and changes
// of health.
TEST_F(ShiftLimiterTest, KeepsTheCapWithRandomTraffic) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    Random random(seed);
    limiter_ = ShiftLimiter();
    limiter_.Configure(document_);
    log_.clear();
    std::exponential_distribution<double> pause(seed % 2 == 0 ? 1 : 12);
    std::vector<std::string> regions = {"a"};
    for (int i = 0; i < 700; ++i) {
      now_ += Duration(static_cast<std::int64_t>(pause(random) * 1e9));
      if (random() % 60 == 0) {
        regions = {std::string(1, static_cast<char>('a' + random() % 3)),
                   std::string(1, static_cast<char>('a' + random() % 3))};
      }
      if (random() % 80 == 0) limiter_.SetHealthy(client_region_, random() % 3 != 0, now_);
      if (regions[0] == regions.back()) {
        Send({regions[0]});
      } else {
        Send(regions);
      }
    }
    CheckWindowsAtDecisions();
  }
}

// Guards against refusals of traffic that was never shifted.
TEST_F(ShiftLimiterTest, NeverRefusesTrafficThatStaysInTheClientRegion) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    Random random(seed);
    std::exponential_distribution<double> pause(static_cast<double>(seed));
    for (int i = 0; i < 500; ++i) {
      now_ += Duration(static_cast<std::int64_t>(pause(random) * 1e9));
      ASSERT_EQ(Send({"a"}), "a");
    }
  }
}

// Guards against traffic that returns at once to a region with empty caches, or that alternates
// between regions when the health of one flaps.
TEST_F(ShiftLimiterTest, ReturnsTrafficUnderTheSameCapOnceTheRegionIsHealthyLongEnough) {
  Run(seconds(20), milliseconds(50), {"a"});
  limiter_.SetHealthy(client_region_, false, now_);
  Run(seconds(90), milliseconds(50), {"b"});
  limiter_.SetHealthy(client_region_, true, now_);
  EXPECT_EQ(Run(seconds(10) - milliseconds(50), milliseconds(50), {"a", "b"}).count("a"), 0U);
  now_ += milliseconds(50);
  EXPECT_NEAR(Run(seconds(10), milliseconds(50), {"a", "b"}).at("a"), 34, 2);
  Run(seconds(60), milliseconds(50), {"a", "b"});
  EXPECT_EQ(Run(seconds(10), milliseconds(50), {"a", "b"}).count("b"), 0U);
  CheckWindowsAtDecisions();
}

// Guards against a new document that resets the history of shifts and so allows a jump.
TEST_F(ShiftLimiterTest, KeepsHistoryAcrossAChangeOfRules) {
  Run(seconds(20), milliseconds(50), {"a"});
  Run(seconds(90), milliseconds(50), {"b"});
  document_.services[0].shift_interval = seconds(20);
  document_.services[0].shift_percent = 5;
  limiter_.Configure(document_);
  EXPECT_EQ(Run(seconds(5), milliseconds(50), {"b"}).count(""), 0U);
  EXPECT_LE(Run(seconds(20), milliseconds(50), {"a", "b"}).at("a"), 20);  // 5% of 400 requests.
}

TEST_F(ShiftLimiterTest, RefusesAsNotRunWithRetryAfter) {
  limiter_.OnRequest(desk_, client_region_, now_);
  const auto refusal = limiter_.Admit(desk_, client_region_, RegionName("b"), now_);
  ASSERT_TRUE(refusal.has_value());
  EXPECT_EQ(refusal->verdict, Verdict::kNotRun);
  EXPECT_EQ(refusal->reason, Reason::kShiftCap);
  EXPECT_EQ(refusal->retry_after, seconds(10));
}

}  // namespace
}  // namespace heatherspan
