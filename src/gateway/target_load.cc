#include "gateway/target_load.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

/// Weight of the latest request in the mean work.
constexpr double kMeanWeight = 0.2;

/// How long a report holds, seconds: at a busy target the next one comes sooner.
constexpr double kHoldSeconds = 0.5;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

auto TargetLoad::Begin(AttemptNumber attempt, Duration longest, Duration expected_work,
                       MonotonicTime now) -> void {
  attempts_.push_back({attempt, now, longest, expected_work});
  mean_work_ = mean_work_ == Duration::zero()
                   ? expected_work
                   : FromSeconds(Seconds(mean_work_) * (1 - kMeanWeight) +
                                 Seconds(expected_work) * kMeanWeight);
}

auto TargetLoad::End(AttemptNumber attempt, MonotonicTime now) -> Duration {
  const auto found =
      std::find_if(attempts_.begin(), attempts_.end(),
                   [&](const Attempt& candidate) { return candidate.number == attempt; });
  if (found == attempts_.end()) return Duration::zero();
  const auto took = now - found->begin;
  attempts_.erase(found);
  return took;
}

auto TargetLoad::OnReport(const LoadReport& report, MonotonicTime now) -> void {
  others_ = std::max(0, report.running + report.waiting - own());
  reported_at_ = now;
}

auto TargetLoad::OnFull(MonotonicTime now) -> void {
  others_ = std::max(Others(now), static_cast<double>(slots_));
  reported_at_ = now;
}

auto TargetLoad::Others(MonotonicTime now) const -> double {
  if (others_ == 0 || mean_work_ == Duration::zero()) return others_;
  // Other VMs go on sending for a while; then a report fades at the pace at which requests end.
  const double age = std::max(0.0, Seconds(now - reported_at_) - kHoldSeconds);
  return others_ * std::exp(-age / Seconds(mean_work_));
}

auto TargetLoad::Wait(MonotonicTime now) const -> Duration {
  const double ahead = own() + Others(now) - slots_;
  if (ahead <= -0.5) return Duration::zero();
  // The next slot is free when the attempt that is due first ends.
  auto first = FromSeconds(Seconds(mean_work_) / (slots_ + 1));
  if (!attempts_.empty()) {
    auto due = Duration::max();
    for (const auto& attempt : attempts_) {
      due = std::min(due, std::max(Duration::zero(), attempt.expected - (now - attempt.begin)));
    }
    first = own() >= slots_ ? due : std::min(first, due);
  }
  return first + FromSeconds(std::max(0.0, ahead) * Seconds(mean_work_) / slots_);
}

auto TargetLoad::Overdue(MonotonicTime now) const -> double {
  double most = 1;
  for (const auto& attempt : attempts_) {
    if (attempt.longest <= Duration::zero()) continue;
    most = std::max(most, Seconds(now - attempt.begin) / Seconds(attempt.longest));
  }
  return most;
}

}  // namespace heatherspan
