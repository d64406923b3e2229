#include "admission/target_state.h"

#include <algorithm>

namespace heatherspan {
namespace {

constexpr int kLatencySmoothing = 8;   // The newest latency counts for one part in this many.
constexpr int kAnswersToForgive = 30;  // Answers in a row that end the memory of ejections.
constexpr int kMostEjectionDoublings = 8;
constexpr int kMostShedDoublings = 8;

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
  StartRamp(options_.takeover_ramp);
}

auto TargetState::Reconfigure(const Target& target, int slots) -> void {
  slots_ = slots;
  removed_ = false;
  if (*target_ != target) target_ = std::make_shared<const Target>(target);
}

auto TargetState::IsDraining() const -> bool {
  return drain_ordered_ || drain_reported_ || drain_answered_.has_value();
}

auto TargetState::SlotLimit(MonotonicTime now) const -> int {
  if (IsDoubtful()) return std::min(1, slots_);
  if (ramp_ <= Duration::zero()) return slots_;
  if (!ramp_started_.has_value()) return std::min(1, slots_);
  const auto elapsed = std::max(Duration::zero(), now - *ramp_started_);
  if (elapsed >= ramp_) return slots_;
  return std::min<int>(slots_, 1 + static_cast<int>(elapsed * slots_ / ramp_));
}

auto TargetState::HasFreeSlot(MonotonicTime now) const -> bool {
  return in_flight() < SlotLimit(now);
}

auto TargetState::Begin(std::uint64_t sequence, MonotonicTime now) -> void {
  if (!ramp_started_.has_value()) ramp_started_ = now;
  in_flight_.push_back(sequence);
}

auto TargetState::Finish(std::uint64_t sequence) -> bool {
  const auto found = std::find(in_flight_.begin(), in_flight_.end(), sequence);
  if (found == in_flight_.end()) return false;
  in_flight_.erase(found);
  return true;
}

auto TargetState::OnResult(const TargetResult& result, MonotonicTime now) -> bool {
  if (result.outcome == TargetOutcome::kCancelled) return false;
  live_completed_ = now;
  if (IsFailure(result.outcome)) return CountFailure();
  failures_ = 0;
  switch (result.outcome) {
    case TargetOutcome::kAnswered:
      OnAnswered(result.latency);
      break;
    case TargetOutcome::kShed:
      OnShed(now);
      break;
    case TargetOutcome::kDraining:
      drain_answered_ = now;
      break;
    default:
      break;
  }
  return false;
}

auto TargetState::OnProbe(bool healthy, MonotonicTime now) -> bool {
  const bool live_is_fresh =
      live_completed_.has_value() && now - *live_completed_ < options_.probe_interval;
  if (live_is_fresh) return false;
  if (!healthy) return CountFailure();
  if (IsDoubtful()) {
    failures_ = options_.failures_to_eject - 1;
    StartRamp(options_.cold_ramp);
  }
  return false;
}

auto TargetState::OnReport(const TargetReport& report, MonotonicTime now) -> void {
  using State = TargetReport::State;
  // A target that goes on saying "cold" must not be held at one slot, so only the change counts.
  const bool was_cold = report_.has_value() && report_->state == State::kCold;
  if (report.state == State::kCold && !was_cold) StartRamp(options_.cold_ramp);
  drain_reported_ = report.state == State::kDraining;
  const bool answer_held =
      drain_answered_.has_value() && now - *drain_answered_ < options_.draining_answer_hold;
  if (!drain_reported_ && !answer_held) drain_answered_.reset();
  report_ = report;
  reported_ = now;
}

auto TargetState::Eject(MonotonicTime now) -> void {
  const int doublings = std::min(ejections_, kMostEjectionDoublings);
  ejected_until_ = now + Doubled(options_.first_ejection, doublings, options_.longest_ejection);
  ++ejections_;
  answers_since_ejection_ = 0;
  failures_ = options_.failures_to_eject - 1;  // The first failure afterwards ejects again.
  StartRamp(options_.cold_ramp);
}

auto TargetState::PauseDoubtful(MonotonicTime now) -> void {
  const int doublings =
      std::clamp(failures_ - options_.failures_to_eject, 0, kMostEjectionDoublings);
  paused_until_ =
      now + Doubled(options_.first_doubtful_pause, doublings, options_.longest_doubtful_pause);
}

auto TargetState::WantsProbe(MonotonicTime now) const -> bool {
  const auto is_old = [&](const std::optional<MonotonicTime>& time) {
    return !time.has_value() || now - *time >= options_.probe_interval;
  };
  return !removed_ && is_old(live_completed_) && is_old(probed_);
}

auto TargetState::IsBetterThan(const TargetState& other, MonotonicTime now) const -> bool {
  if (in_flight() != other.in_flight()) return in_flight() < other.in_flight();
  const auto busy = ReportedBusy(now);
  const auto other_busy = other.ReportedBusy(now);
  if (busy.has_value() && other_busy.has_value() && *busy != *other_busy) {
    return *busy < *other_busy;
  }
  return latency_ < other.latency_;
}

auto TargetState::CountFailure() -> bool {
  ++failures_;
  return failures_ >= options_.failures_to_eject;
}

auto TargetState::OnAnswered(Duration latency) -> void {
  sheds_ = 0;
  latency_ =
      latency_ == Duration::zero() ? latency : latency_ + (latency - latency_) / kLatencySmoothing;
  if (++answers_since_ejection_ >= kAnswersToForgive) ejections_ = 0;
}

auto TargetState::OnShed(MonotonicTime now) -> void {
  const int doublings = std::min(sheds_, kMostShedDoublings);
  paused_until_ = now + Doubled(options_.first_shed_pause, doublings, options_.longest_shed_pause);
  ++sheds_;
}

auto TargetState::StartRamp(Duration length) -> void {
  ramp_ = length;
  ramp_started_.reset();
}

auto TargetState::ReportedBusy(MonotonicTime now) const -> std::optional<int> {
  if (!report_.has_value() || now - reported_ >= options_.report_lifetime) return std::nullopt;
  if (live_completed_.has_value() && *live_completed_ >= reported_) return std::nullopt;
  return report_->busy;
}

}  // namespace heatherspan
