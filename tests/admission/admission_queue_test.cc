#include "admission/admission_queue.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "base/random.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr ServiceThroughput kFastService{1000, milliseconds(1), {}};

auto AnyServiceCanRun(const ServiceName&) -> bool { return true; }

auto Request(std::uint64_t id, const char* service, double value, const char* team = "field",
             double weight = 1) -> WaitingRequest {
  return {id, ServiceName(service), TeamName(team), value, weight, kStart + milliseconds(2000)};
}

auto Take(AdmissionQueue& queue) -> std::uint64_t {
  const auto taken = queue.TakeNext(AnyServiceCanRun, kStart);
  return taken.has_value() ? taken->id : 0;
}

// Guards against refusing a valuable request because less valuable requests arrived first and
// filled the queue.
TEST(AdmissionQueue, DisplacesTheLeastValuableRequestWhenFull) {
  AdmissionQueue queue(3);
  queue.Offer(Request(1, "archive", 1), kFastService, kStart);
  queue.Offer(Request(2, "archive", 1), kFastService, kStart);
  queue.Offer(Request(3, "dispatch", 5), kFastService, kStart);
  const auto result = queue.Offer(Request(4, "ledger", 9), kFastService, kStart);
  EXPECT_FALSE(result.refusal.has_value());
  ASSERT_TRUE(result.displaced.has_value());
  EXPECT_EQ(result.displaced->id, 2U);  // The newest request of the service has waited least.
  EXPECT_EQ(result.displaced->refusal.verdict, Verdict::kNotRun);
  EXPECT_EQ(result.displaced->refusal.reason, Reason::kOverload);
  EXPECT_TRUE(result.displaced->refusal.retry_after.has_value());
  EXPECT_EQ(queue.size(), 3U);
  EXPECT_EQ(Take(queue), 4U);
  EXPECT_EQ(Take(queue), 3U);
  EXPECT_EQ(Take(queue), 1U);
}

TEST(AdmissionQueue, RefusesRequestsThatAreNotMoreValuableWhenFull) {
  AdmissionQueue queue(1);
  queue.Offer(Request(1, "ledger", 9), kFastService, kStart);
  const auto result = queue.Offer(Request(2, "archive", 1), kFastService, kStart);
  ASSERT_TRUE(result.refusal.has_value());
  EXPECT_EQ(result.refusal->reason, Reason::kOverload);
  EXPECT_TRUE(result.refusal->retry_after.has_value());
  EXPECT_EQ(queue.Offer(Request(3, "ledger", 9), kFastService, kStart).refusal->reason,
            Reason::kQueueFull);
}

// Guards against one team that occupies the whole queue with requests of the same value as those of
// other teams.
TEST(AdmissionQueue, DisplacesTheTeamWithTheMostWaitingPerWeightAmongEqualValues) {
  AdmissionQueue queue(10);
  for (int i = 1; i <= 10; ++i) queue.Offer(Request(i, "a", 1, "many"), kFastService, kStart);
  int displaced = 0;
  for (int i = 11; i <= 30; ++i) {
    displaced += queue.Offer(Request(i, "b", 1, "few"), kFastService, kStart).displaced.has_value();
  }
  EXPECT_EQ(displaced, 5);
  EXPECT_EQ(queue.Queued(ServiceName("a")), 5U);
  EXPECT_EQ(queue.Offer(Request(40, "a", 1, "many"), kFastService, kStart).refusal->reason,
            Reason::kTeamLimit);
}

// Guards against a team with many requests that starves other teams when the cap is the bottleneck.
TEST(AdmissionQueue, ServesTeamsInProportionToTheirWeights) {
  AdmissionQueue queue(1000);
  std::uint64_t id = 1;
  for (int i = 0; i < 300; ++i) {
    queue.Offer(Request(id++, "a", 9, "light", 0.5), kFastService, kStart);
    queue.Offer(Request(id++, "b", 1, "heavy", 1.5), kFastService, kStart);
    queue.Offer(Request(id++, "c", 5, "heavy", 1.5), kFastService, kStart);
  }
  std::map<TeamName, int> requests_by_team;
  std::map<ServiceName, int> requests_by_service;
  for (int i = 0; i < 200; ++i) {
    const auto taken = queue.TakeNext(AnyServiceCanRun, kStart);
    ++requests_by_team[taken->team];
    ++requests_by_service[taken->service];
  }
  EXPECT_NEAR(requests_by_team[TeamName("light")], 50, 3);
  // Within a team, the more valuable service comes first.
  EXPECT_EQ(requests_by_service[ServiceName("b")], 0);
}

// Guards against a service without free slots that blocks the other services.
TEST(AdmissionQueue, SkipsServicesWithoutFreeSlots) {
  AdmissionQueue queue(10);
  queue.Offer(Request(1, "stuck", 9), kFastService, kStart);
  queue.Offer(Request(2, "free", 1), kFastService, kStart);
  const auto only_free = [](const ServiceName& service) { return service.value() == "free"; };
  EXPECT_EQ(queue.TakeNext(only_free, kStart)->id, 2U);
  EXPECT_FALSE(queue.TakeNext(only_free, kStart).has_value());
  EXPECT_EQ(queue.size(), 1U);
}

// Guards against starting a request whose caller will have timed out before the response.
TEST(AdmissionQueue, RefusesAndExpiresRequestsThatCannotMeetTheirDeadline) {
  AdmissionQueue queue(1000);
  constexpr ServiceThroughput kSlowService{3, milliseconds(90), {}};
  auto urgent = Request(1, "a", 1);
  urgent.deadline = kStart + milliseconds(119);  // 30 ms queue wait, 90 ms processing.
  const auto result = queue.Offer(urgent, kSlowService, kStart);
  EXPECT_EQ(result.refusal->reason, Reason::kDeadline);
  urgent.deadline = kStart + milliseconds(120);
  EXPECT_FALSE(queue.Offer(urgent, kSlowService, kStart).refusal.has_value());
  const auto too_late = kStart + milliseconds(31);
  EXPECT_FALSE(queue.TakeNext(AnyServiceCanRun, too_late).has_value());
  EXPECT_EQ(queue.TakeExpired(too_late - milliseconds(1)).size(), 0U);
  EXPECT_EQ(queue.TakeExpired(too_late).size(), 1U);
  EXPECT_EQ(queue.size(), 0U);
}

// Guards against a queue in which requests wait until just before their deadlines: all of them
// start late, and a request that takes longer than expected misses its deadline and is processed in
// vain.
TEST(AdmissionQueue, RefusesWhenTheQueueWaitExceedsAQuarterOfTheRemainingTime) {
  AdmissionQueue queue(1000);
  constexpr ServiceThroughput kSlowService{3, milliseconds(90), {}};
  std::uint64_t id = 1;
  std::optional<Refusal> refusal;
  while (!refusal.has_value()) {
    refusal = queue.Offer(Request(id++, "a", 1), kSlowService, kStart).refusal;
  }
  EXPECT_EQ(queue.size(), 16U);  // 16 x 90 / 3 ms is the last wait below a quarter of 2 s.
  EXPECT_EQ(refusal->reason, Reason::kOverload);
  EXPECT_EQ(refusal->retry_after, milliseconds(510));
}

// Guards against a full queue that refuses new requests while its waiting requests can no longer
// meet their deadlines.
TEST(AdmissionQueue, DisplacesExpiredRequestsFirst) {
  AdmissionQueue queue(1);
  auto late = Request(1, "ledger", 9);
  late.deadline = kStart + milliseconds(10);
  queue.Offer(late, kFastService, kStart);
  const auto result =
      queue.Offer(Request(2, "archive", 1), kFastService, kStart + milliseconds(50));
  EXPECT_EQ(result.displaced->id, 1U);
  EXPECT_EQ(result.displaced->refusal.reason, Reason::kDeadline);
}

// Guards against requests that disappear from the queue or leave it twice.
TEST(AdmissionQueue, EveryRequestLeavesTheQueueExactlyOnce) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    Random random(seed);
    AdmissionQueue queue(20);
    std::map<std::uint64_t, int> exit_counts;
    constexpr std::uint64_t kRequests = 2000;
    auto now = kStart;
    for (std::uint64_t id = 1; id <= kRequests; ++id) {
      now += milliseconds(random() % 4);
      const auto kind = static_cast<char>('a' + random() % 5);
      auto request = Request(id, std::string(1, kind).c_str(), kind % 3, kind % 2 ? "x" : "y");
      request.deadline = now + milliseconds(random() % 60);
      const auto result = queue.Offer(request, kFastService, now);
      if (result.refusal.has_value()) ++exit_counts[id];
      if (result.displaced.has_value()) ++exit_counts[result.displaced->id];
      ASSERT_LE(queue.size(), 20U);
      if (random() % 8 == 0) exit_counts[id] += queue.Remove(id) ? 1 : 0;
      if (random() % 3 == 0) {
        const auto taken = queue.TakeNext(AnyServiceCanRun, now);
        if (taken.has_value()) ++exit_counts[taken->id];
      }
      if (random() % 50 == 0) {
        for (const auto& expired : queue.TakeExpired(now)) ++exit_counts[expired.id];
      }
    }
    for (const auto& expired : queue.TakeExpired(now + std::chrono::hours(1)))
      ++exit_counts[expired.id];
    ASSERT_EQ(exit_counts.size(), kRequests);
    for (const auto& [id, count] : exit_counts) ASSERT_EQ(count, 1) << "request " << id;
  }
}

}  // namespace
}  // namespace heatherspan
