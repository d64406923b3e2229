#include "gateway/target_load.h"

#include <algorithm>
#include <cmath>

namespace heatherspan {
namespace {

/// Weight of the latest request in the mean processing time.
constexpr double kProcessingTimeWeight = 0.2;

/// How long a report stays fully valid. A busy target sends the next report sooner.
constexpr double kReportHoldSeconds = 0.5;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

auto TargetLoad::Begin(AttemptNumber attempt, Duration max_duration,
                       Duration expected_processing_time, MonotonicTime now) -> void {
  attempts_.push_back({attempt, now, max_duration, expected_processing_time});
  mean_processing_time_ =
      mean_processing_time_ == Duration::zero()
          ? expected_processing_time
          : FromSeconds(Seconds(mean_processing_time_) * (1 - kProcessingTimeWeight) +
                        Seconds(expected_processing_time) * kProcessingTimeWeight);
}

auto TargetLoad::End(AttemptNumber attempt, MonotonicTime now) -> Duration {
  const auto found =
      std::find_if(attempts_.begin(), attempts_.end(),
                   [&](const Attempt& candidate) { return candidate.number == attempt; });
  if (found == attempts_.end()) return Duration::zero();
  const auto duration = now - found->begin;
  attempts_.erase(found);
  return duration;
}

auto TargetLoad::OnReport(const LoadReport& report, MonotonicTime now) -> void {
  reported_other_requests_ = std::max(0, report.running + report.waiting - in_flight());
  reported_at_ = now;
}

auto TargetLoad::OnFull(MonotonicTime now) -> void {
  reported_other_requests_ = std::max(OtherRequests(now), static_cast<double>(slots_));
  reported_at_ = now;
}

auto TargetLoad::OtherRequests(MonotonicTime now) const -> double {
  if (reported_other_requests_ == 0 || mean_processing_time_ == Duration::zero())
    return reported_other_requests_;
  // Other entry VMs keep sending for a while. After that, the reported load decays at the rate at
  // which requests end.
  const double age = std::max(0.0, Seconds(now - reported_at_) - kReportHoldSeconds);
  return reported_other_requests_ * std::exp(-age / Seconds(mean_processing_time_));
}

auto TargetLoad::QueueWait(MonotonicTime now) const -> Duration {
  const double requests_ahead = in_flight() + OtherRequests(now) - slots_;
  if (requests_ahead <= -0.5) return Duration::zero();
  // The next slot is free when the attempt with the earliest expected end finishes.
  auto next_slot_free = FromSeconds(Seconds(mean_processing_time_) / (slots_ + 1));
  if (!attempts_.empty()) {
    auto next_end = Duration::max();
    for (const auto& attempt : attempts_) {
      next_end =
          std::min(next_end, std::max(Duration::zero(), attempt.expected - (now - attempt.begin)));
    }
    next_slot_free = in_flight() >= slots_ ? next_end : std::min(next_slot_free, next_end);
  }
  return next_slot_free +
         FromSeconds(std::max(0.0, requests_ahead) * Seconds(mean_processing_time_) / slots_);
}

auto TargetLoad::OverdueRatio(MonotonicTime now) const -> double {
  double max_ratio = 1;
  for (const auto& attempt : attempts_) {
    if (attempt.max_duration <= Duration::zero()) continue;
    max_ratio = std::max(max_ratio, Seconds(now - attempt.begin) / Seconds(attempt.max_duration));
  }
  return max_ratio;
}

}  // namespace heatherspan
