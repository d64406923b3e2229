#include "admission/target_state.h"

#include <algorithm>

namespace heatherspan {
namespace {

constexpr int kLatencySmoothingDivisor = 8;   // The newest latency has the weight 1 / 8.
constexpr int kAnswersToResetEjections = 30;  // Answers since the latest ejection.
constexpr int kMaxEjectionDoublings = 8;
constexpr int kMaxShedDoublings = 8;

auto Doubled(Duration first, int doublings, Duration longest) -> Duration {
  return std::min(longest, first * (1 << doublings));
}

auto IsFailure(TargetOutcome outcome) -> bool {
  return outcome == TargetOutcome::kConnectFailed || outcome == TargetOutcome::kConnectionLost ||
         outcome == TargetOutcome::kTimeout || outcome == TargetOutcome::kServerError;
}

}  // namespace

TargetState::TargetState(Target target, int slots, const TargetPoolOptions& options)
    : target_(std::make_shared<const Target>(std::move(target))), slots_(slots), options_(options) {
  StartRamp(options_.takeover_ramp_duration);
}

auto TargetState::Reconfigure(const Target& target, int slots) -> void {
  slots_ = slots;
  removed_ = false;
  if (*target_ != target) target_ = std::make_shared<const Target>(target);
}

auto TargetState::IsDraining() const -> bool {
  return drain_ordered_ || drain_reported_ || drain_answered_at_.has_value();
}

auto TargetState::SlotLimit(MonotonicTime now) const -> int {
  if (IsFailing()) return std::min(1, slots_);
  if (ramp_duration_ <= Duration::zero()) return slots_;
  if (!ramp_started_at_.has_value()) return std::min(1, slots_);
  const auto elapsed = std::max(Duration::zero(), now - *ramp_started_at_);
  if (elapsed >= ramp_duration_) return slots_;
  return std::min<int>(slots_, 1 + static_cast<int>(elapsed * slots_ / ramp_duration_));
}

auto TargetState::HasFreeSlot(MonotonicTime now) const -> bool {
  return in_flight() < SlotLimit(now);
}

auto TargetState::BeginRequest(std::uint64_t sequence, MonotonicTime now) -> void {
  if (!ramp_started_at_.has_value()) ramp_started_at_ = now;
  in_flight_.push_back(sequence);
}

auto TargetState::FinishRequest(std::uint64_t sequence) -> bool {
  const auto found = std::find(in_flight_.begin(), in_flight_.end(), sequence);
  if (found == in_flight_.end()) return false;
  in_flight_.erase(found);
  return true;
}

auto TargetState::OnResult(const TargetResult& result, MonotonicTime now) -> bool {
  if (result.outcome == TargetOutcome::kCancelled) return false;
  live_completed_at_ = now;
  if (IsFailure(result.outcome)) return CountFailure();
  consecutive_failures_ = 0;
  switch (result.outcome) {
    case TargetOutcome::kAnswered:
      OnAnswered(result.latency);
      break;
    case TargetOutcome::kShed:
      OnShed(now);
      break;
    case TargetOutcome::kDraining:
      drain_answered_at_ = now;
      break;
    default:
      break;
  }
  return false;
}

auto TargetState::OnProbe(bool healthy, MonotonicTime now) -> bool {
  const bool live_traffic_is_recent =
      live_completed_at_.has_value() && now - *live_completed_at_ < options_.probe_interval;
  if (live_traffic_is_recent) return false;
  if (!healthy) return CountFailure();
  if (IsFailing()) {
    consecutive_failures_ = options_.failures_to_eject - 1;
    StartRamp(options_.cold_ramp_duration);
  }
  return false;
}

auto TargetState::OnReport(const TargetReport& report, MonotonicTime now) -> void {
  using State = TargetReport::State;
  // Only a change to "cold" starts the ramp; otherwise a target that repeats "cold" in each report
  // would stay at one slot.
  const bool was_cold = report_.has_value() && report_->state == State::kCold;
  if (report.state == State::kCold && !was_cold) StartRamp(options_.cold_ramp_duration);
  drain_reported_ = report.state == State::kDraining;
  const bool answer_held =
      drain_answered_at_.has_value() && now - *drain_answered_at_ < options_.draining_answer_hold;
  if (!drain_reported_ && !answer_held) drain_answered_at_.reset();
  report_ = report;
  reported_at_ = now;
}

auto TargetState::Eject(MonotonicTime now) -> void {
  const int doublings = std::min(recent_ejections_, kMaxEjectionDoublings);
  ejected_until_ =
      now + Doubled(options_.base_ejection_duration, doublings, options_.max_ejection_duration);
  ++recent_ejections_;
  answers_since_ejection_ = 0;
  consecutive_failures_ = options_.failures_to_eject - 1;  // The next failure ejects again.
  StartRamp(options_.cold_ramp_duration);
}

auto TargetState::PauseFailing(MonotonicTime now) -> void {
  const int doublings =
      std::clamp(consecutive_failures_ - options_.failures_to_eject, 0, kMaxEjectionDoublings);
  paused_until_ = now + Doubled(options_.base_failing_pause, doublings, options_.max_failing_pause);
}

auto TargetState::IsProbeDue(MonotonicTime now) const -> bool {
  const auto is_old = [&](const std::optional<MonotonicTime>& time) {
    return !time.has_value() || now - *time >= options_.probe_interval;
  };
  return !removed_ && is_old(live_completed_at_) && is_old(probed_at_);
}

auto TargetState::IsBetterThan(const TargetState& other, MonotonicTime now) const -> bool {
  if (in_flight() != other.in_flight()) return in_flight() < other.in_flight();
  const auto busy = ReportedBusySlots(now);
  const auto other_busy = other.ReportedBusySlots(now);
  if (busy.has_value() && other_busy.has_value() && *busy != *other_busy) {
    return *busy < *other_busy;
  }
  return latency_ < other.latency_;
}

auto TargetState::CountFailure() -> bool {
  ++consecutive_failures_;
  return consecutive_failures_ >= options_.failures_to_eject;
}

auto TargetState::OnAnswered(Duration latency) -> void {
  sheds_since_answer_ = 0;
  latency_ = latency_ == Duration::zero()
                 ? latency
                 : latency_ + (latency - latency_) / kLatencySmoothingDivisor;
  if (++answers_since_ejection_ >= kAnswersToResetEjections) recent_ejections_ = 0;
}

auto TargetState::OnShed(MonotonicTime now) -> void {
  const int doublings = std::min(sheds_since_answer_, kMaxShedDoublings);
  paused_until_ = now + Doubled(options_.base_shed_pause, doublings, options_.max_shed_pause);
  ++sheds_since_answer_;
}

auto TargetState::StartRamp(Duration length) -> void {
  ramp_duration_ = length;
  ramp_started_at_.reset();
}

auto TargetState::ReportedBusySlots(MonotonicTime now) const -> std::optional<int> {
  if (!report_.has_value() || now - reported_at_ >= options_.report_lifetime) return std::nullopt;
  if (live_completed_at_.has_value() && *live_completed_at_ >= reported_at_) return std::nullopt;
  return report_->busy_slots;
}

}  // namespace heatherspan
