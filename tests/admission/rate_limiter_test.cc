#include "admission/rate_limiter.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "base/random.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

/// An admitted request, with the integral of the rate up to its time.
struct Admission {
  double rate_integral = 0;
};

// Guards against exceeding the cap when the share grows and shrinks within a window.
TEST(RateLimiter, NeverExceedsRateTimesWindowPlusBurst) {
  constexpr double kBurst = 3;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    Random random(seed);
    double rate = 100;
    RateLimiter limiter{RequestsPerSecond(rate), kBurst, kStart};
    std::vector<Admission> admissions;
    double rate_integral = 0;
    auto now = kStart;
    for (int step = 0; step < 2000; ++step) {
      const Duration pause(std::uniform_int_distribution<std::int64_t>(0, 20'000'000)(random));
      now += pause;
      rate_integral += rate * std::chrono::duration<double>(pause).count();
      if (random() % 10 == 0) {
        rate = static_cast<double>(random() % 4) * 50;
        limiter.SetRate(RequestsPerSecond(rate), now);
      }
      if (limiter.TryTake(now)) admissions.push_back({rate_integral});
    }
    ASSERT_GT(admissions.size(), 100U);
    for (std::size_t first = 0; first < admissions.size(); ++first) {
      for (std::size_t last = first; last < admissions.size(); ++last) {
        const auto count = static_cast<double>(last - first + 1);
        ASSERT_LE(count,
                  admissions[last].rate_integral - admissions[first].rate_integral + kBurst + 1e-6);
      }
    }
  }
}

// Guards against a limiter that leaves part of its rate unused although demand is steady.
TEST(RateLimiter, AdmitsTheFullRateUnderSteadyDemand) {
  RateLimiter limiter{RequestsPerSecond(50), 1, kStart};
  int admitted = 0;
  for (int ms = 0; ms < 10'000; ++ms)
    admitted += limiter.TryTake(kStart + milliseconds(ms)) ? 1 : 0;
  EXPECT_NEAR(admitted, 500, 2);
}

// Guards against a Retry-After time at which the limiter refuses the request again.
TEST(RateLimiter, SucceedsAfterTimeToNextToken) {
  for (const double rate : {0.3, 7.0, 333.3}) {
    RateLimiter limiter{RequestsPerSecond(rate), 1, kStart};
    auto now = kStart;
    for (int i = 0; i < 100; ++i) {
      ASSERT_TRUE(limiter.TryTake(now)) << "rate " << rate << ", take " << i;
      ASSERT_FALSE(limiter.TryTake(now));
      now += limiter.TimeToNextToken(now);
    }
  }
}

// Guards against a node that uses its remaining burst after its share of a cap has ended.
TEST(RateLimiter, AdmitsNothingAtARateOfZero) {
  RateLimiter limiter{RequestsPerSecond(10), 5, kStart};
  limiter.SetRate(RequestsPerSecond(0), kStart);
  EXPECT_FALSE(limiter.TryTake(kStart + milliseconds(1000)));
  EXPECT_EQ(limiter.TimeToNextToken(kStart), Duration::max());
}

// Guards against adding tokens twice for the same interval when threads pass times out of order.
TEST(RateLimiter, IgnoresTimesOlderThanTheLastOne) {
  RateLimiter limiter{RequestsPerSecond(10), 1, kStart};
  ASSERT_TRUE(limiter.TryTake(kStart + milliseconds(100)));
  EXPECT_FALSE(limiter.TryTake(kStart));
  EXPECT_FALSE(limiter.TryTake(kStart + milliseconds(150)));
  EXPECT_TRUE(limiter.TryTake(kStart + milliseconds(200)));
}

}  // namespace
}  // namespace heatherspan
