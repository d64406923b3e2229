#include "gateway/quota_keeper.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

/// Of the tokens that are left, the part that one VM gets for requests that it only expects.
constexpr double kAheadPart = 0.5;
constexpr double kRoundingError = 1e-9;
constexpr Duration kMaxRetryAfter = std::chrono::seconds(4);

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto QuotaKeeper::OnAsk(const QuotaAsk& ask, const QuotaTiming& timing, MonotonicTime now)
    -> QuotaAnswer {
  token_life_ = std::max(timing.token_life, token_life_);
  Advance(now);
  Lend(ask, timing, now);
  const bool may_return = ask.stamp.has_value() && ask.stamp->instance == instance_ &&
                          now - ask.stamp->time <= timing.token_life;
  QuotaAnswer answer;
  answer.stamp = {instance_, now};
  answer.token_life = timing.token_life;
  answer.teams.reserve(ask.teams.size());
  for (const auto& item : ask.teams) answer.teams.push_back(Grant(item, may_return, now));
  return answer;
}

auto QuotaKeeper::Lend(const QuotaAsk& ask, const QuotaTiming& timing, MonotonicTime now) -> void {
  if (!ask.stamp.has_value() || ask.stamp->instance != instance_ || ask.stamp->time > now) return;
  const auto until = ask.stamp->time + timing.loan_time;
  const auto found = loans_.find(ask.node);
  if (found == loans_.end()) {
    if (until <= now || loans_.size() >= kMaxLenders) return;
  } else if (until < found->second.until) {
    return;  // A message that was overtaken.
  }
  loans_[ask.node] = {std::clamp(ask.fraction, 0.0, 1.0), until};
  Advance(now);
}

auto QuotaKeeper::Advance(MonotonicTime now) -> void {
  double sum = 0;
  double supply = 0;
  absl::erase_if(loans_, [&](const auto& entry) {
    const auto& loan = entry.second;
    const auto passed = std::min(loan.until, now) - advanced_at_;
    supply += loan.fraction * Seconds(std::max(passed, Duration::zero()));
    if (loan.until <= now) return true;
    sum += loan.fraction;
    return false;
  });
  supply_ += std::min(supply, Seconds(now - advanced_at_));
  advanced_at_ = now;
  const bool falls = sum < fraction_ - kRoundingError;
  fraction_ = std::min(sum, 1.0);
  if (falls) ClampAll(now);
}

auto QuotaKeeper::ClampAll(MonotonicTime now) -> void {
  absl::erase_if(buckets_, [&](const auto& entry) { return quotas_.Find(entry.first) == nullptr; });
  // A bucket that is not there yet has lost as much as the others.
  for (const auto& [team, budget] : quotas_.budgets()) {
    buckets_[team].Advance(budget, fraction_, supply_, token_life_, now);
  }
}

auto QuotaKeeper::OnQuotasChanged(MonotonicTime now) -> void {
  Advance(now);
  ClampAll(now);
}

auto QuotaKeeper::Close() -> void {
  loans_.clear();
  buckets_.clear();
  fraction_ = 0;
  supply_ = 0;
}

auto QuotaKeeper::Grant(const QuotaAsk::Item& item, bool may_return, MonotonicTime now)
    -> QuotaAnswer::Item {
  const auto* budget = quotas_.Find(item.team);
  if (budget == nullptr) return {};
  auto& bucket = buckets_[item.team];
  bucket.Advance(*budget, fraction_, supply_, token_life_, now);
  QuotaAnswer::Item answer;
  if (may_return) {
    bucket.Credit(item.returned);
    answer.renewed = bucket.Renew(item.renewed);
  }
  answer.granted = bucket.Take(item.needed);
  if (answer.granted == item.needed) {
    const auto spare = static_cast<int>(std::floor(bucket.level() * kAheadPart));
    answer.granted += bucket.Take(std::min(item.ahead, spare));
  }
  if (answer.granted >= item.needed && bucket.level() >= 1) return answer;
  const double rate = budget->rate.value() * fraction_;
  const double wait =
      rate > 0 ? (1 - std::min(1.0, bucket.level())) / rate : Seconds(kMaxRetryAfter);
  answer.retry_after =
      std::clamp(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(std::min(wait, Seconds(kMaxRetryAfter)))),
                 Duration(std::chrono::milliseconds(1)), kMaxRetryAfter);
  return answer;
}

}  // namespace heatherspan
