#include <gtest/gtest.h>

#include <string>

#include "gateway/quota_client.h"
#include "gateway/quota_fraction.h"
#include "gateway/quota_keeper.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonotonicTime kStart = MonotonicTime(std::chrono::hours(1));

auto Named(const std::string& name) -> EntryVm {
  return {NodeName(name), ZoneName("a"), RegionName("r"), {name, 1}, {name, 2}};
}

TEST(TeamQuotaBudget, RateAndDepthStayWithinTheRuleInEachWindow) {
  for (const double overage : {0.0, 0.1, 1.0}) {
    for (const double slack : {0.0, 20.0}) {
      for (const double rate : {0.1, 3.0, 480.0}) {
        for (const double burst : {0.0, rate}) {
          const TeamQuotaRule rule{seconds(5), overage, slack};
          const TeamQuota quota{RequestsPerSecond(rate), burst};
          const auto budget = TeamQuotaBudget::Of(quota, rule);
          EXPECT_LE(budget.rate.value() * 5 + budget.depth, rule.Allowed(quota) + 1e-9);
          EXPECT_GE(budget.rate.value(), rate);
          EXPECT_GE(budget.depth, burst);
        }
      }
    }
  }
}

// Guards against a sum of fractions above one while a VM out of sight is replaced.
TEST(QuotaFractionTest, AVmOutOfSightIsCountedUntilItsFractionHasLapsed) {
  constexpr int kVms = 24;
  std::vector<EntryVm> others;
  for (int i = 1; i < kVms; ++i) others.push_back(Named("vm-" + std::to_string(i)));
  auto before = others;
  before.push_back(Named("cut"));
  auto after = others;
  after.push_back(Named("new"));
  QuotaFraction stays(NodeName("vm-1"));
  QuotaFraction cut(NodeName("cut"));
  auto now = kStart;
  for (; now < kStart + seconds(10); now += milliseconds(250)) {
    for (auto* vm : {&stays, &cut}) {
      vm->OnAnnouncementRenewed(now);
      vm->Update(before, now);
    }
  }
  ASSERT_EQ(cut.kind(), QuotaFraction::Kind::kActive);
  for (; now < kStart + minutes(7); now += milliseconds(250)) {
    stays.OnAnnouncementRenewed(now);
    stays.Update(after, now);
    cut.Update(before, now);
    ASSERT_LE(kVms * stays.value() + cut.value(), 1) << (now - kStart) / seconds(1);
  }
  EXPECT_EQ(cut.kind(), QuotaFraction::Kind::kLapsed);
}

TEST(QuotaFractionTest, AnAnnouncementThatStandsGivesTheFractionAtOnce) {
  QuotaFraction restarted(NodeName("a"));
  QuotaFraction added(NodeName("c"));
  const std::vector<EntryVm> announced = {Named("a"), Named("b")};
  for (auto* vm : {&restarted, &added}) {
    vm->OnFirstState(announced, kStart);
    vm->Update(announced, kStart);
  }
  EXPECT_GT(restarted.value(), 0);
  EXPECT_EQ(added.value(), 0);
}

/// A keeper and a client of another VM.
class QuotaLoanTest : public testing::Test {
 protected:
  QuotaLoanTest() {
    quotas_.Apply({{TeamName("t"), {}, {}, {}, {RequestsPerSecond(100), 100}}});
    Update();
  }
  auto Update() -> void { client_.Update(0.5, timing_, {Named("one"), Named("vm")}, now_); }
  /// Returns whether the VM has lent its fraction.
  auto Exchange() -> bool {
    const auto ask = client_.BeginAsk(now_);
    now_ += milliseconds(70);
    client_.OnAnswer(keeper_.OnAsk(ask, timing_, now_), now_);
    return ask.fraction > 0;
  }
  auto Acquire() -> bool {
    const auto ruling = client_.Acquire(TeamName("t"), 1, now_);
    return ruling.has_value() && ruling->admitted;
  }

  MonotonicTime now_ = kStart;
  QuotaTiming timing_ = QuotaTiming::For(2);
  TeamQuotaTable quotas_;
  QuotaKeeper keeper_{InstanceId(1), quotas_};
  QuotaClient client_{NodeName("vm"), quotas_};
};

TEST_F(QuotaLoanTest, TheVmUsesItsFractionItselfOnlyAfterTheLoan) {
  // Which of the two is the keeper depends on their names.
  ASSERT_EQ(client_.keeper()->name, NodeName("one"));
  EXPECT_FALSE(Exchange());
  EXPECT_TRUE(Exchange());
  EXPECT_EQ(keeper_.fraction(), 0.5);
  const auto lent_at = now_;
  for (; now_ < lent_at + seconds(3); now_ += milliseconds(50)) {
    Update();
    // An ask makes the keeper look at the time.
    keeper_.OnAsk(QuotaAsk(), timing_, now_);
    const bool is_kept = keeper_.fraction() > 0;
    EXPECT_FALSE(is_kept && client_.local_fraction() > 0) << (now_ - lent_at) / milliseconds(1);
  }
  EXPECT_EQ(keeper_.fraction(), 0);
  EXPECT_EQ(client_.local_fraction(), 0.5);
}

TEST_F(QuotaLoanTest, AKeeperThatHasEndedHoldsNothing) {
  Exchange();
  Exchange();
  client_.BeginAsk(now_);
  client_.OnFailure(QuotaClient::Failure::kDeclined, now_);
  Update();
  EXPECT_EQ(client_.local_fraction(), 0.5);
  EXPECT_EQ(client_.keeper()->name, NodeName("vm"));
}

TEST_F(QuotaLoanTest, ARequestThatHasNotRunGivesItsTokenBack) {
  Exchange();
  Exchange();
  now_ += milliseconds(500);
  ASSERT_FALSE(Acquire());
  Exchange();
  const auto rulings = client_.TakeRulings();
  ASSERT_EQ(rulings.size(), 1U);
  ASSERT_TRUE(rulings[0].second.admitted);
  const auto before = client_.TokensOf(TeamName("t"), now_);
  client_.GiveBack(TeamName("t"), rulings[0].second.usable_until, now_);
  EXPECT_EQ(client_.TokensOf(TeamName("t"), now_), before + 1);
  client_.GiveBack(TeamName("t"), now_ - milliseconds(1), now_);
  EXPECT_EQ(client_.TokensOf(TeamName("t"), now_), before + 1);
}

TEST_F(QuotaLoanTest, AFallingQuotaTakesEffectAtOnce) {
  Exchange();
  for (int i = 0; i < 40; ++i) {
    Exchange();
    now_ += milliseconds(250);
  }
  quotas_.Apply({{TeamName("t"), {}, {}, {}, {RequestsPerSecond(2), 1}}});
  keeper_.OnQuotasChanged(now_);
  QuotaAsk ask;
  ask.node = NodeName("x");
  ask.teams = {{TeamName("t"), 0, 0, 1000, 0}};
  const auto granted = keeper_.OnAsk(ask, timing_, now_).teams[0].granted;
  EXPECT_LE(granted, TeamQuotaRule().Allowed({RequestsPerSecond(2), 1}));
}

}  // namespace
}  // namespace heatherspan
