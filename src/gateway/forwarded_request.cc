#include "gateway/forwarded_request.h"

#include <algorithm>
#include <utility>

#include "gateway/common_regions.h"

namespace heatherspan {
namespace {

/// Maximum number of targets per request, whether they run it or not: each refusal costs the caller
/// a round trip.
constexpr std::size_t kMaxAttempts = 4;
/// The same over all entry VMs that the request passes.
constexpr int kMaxArrivals = 4;
/// Time that the caller has waited before its request arrived, and that the response takes on its
/// way back.
constexpr Duration kCallerRoundTripAllowance = std::chrono::milliseconds(30);
/// A retry needs at least this fraction of the objective, or it has no chance to succeed.
constexpr double kMinRetryObjectivePart = 0.25;

}  // namespace

auto VerdictOf(AttemptOutcome outcome) -> Verdict {
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
    case AttemptOutcome::kFailed:
      return Verdict::kRan;
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kReplaced:
    case AttemptOutcome::kNotSent:
      return Verdict::kNotRun;
    case AttemptOutcome::kLost:
      return Verdict::kMayHaveRun;
  }
  return Verdict::kMayHaveRun;
}

auto ObservationOf(AttemptOutcome outcome) -> TargetObservation {
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      return TargetObservation::kServed;
    case AttemptOutcome::kRefused:
      return TargetObservation::kRefused;
    case AttemptOutcome::kReplaced:
      return TargetObservation::kReplaced;
    case AttemptOutcome::kNotSent:
      return TargetObservation::kUnreachable;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kLost:
      return TargetObservation::kFailed;
  }
  return TargetObservation::kFailed;
}

auto ReasonOf(AttemptOutcome outcome) -> Reason {
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      return Reason::kNone;
    case AttemptOutcome::kFailed:
      return Reason::kTargetFailed;
    case AttemptOutcome::kRefused:
      return Reason::kTargetRefused;
    case AttemptOutcome::kReplaced:
      return Reason::kTargetReplaced;
    case AttemptOutcome::kNotSent:
      return Reason::kTargetConnect;
    case AttemptOutcome::kLost:
      return Reason::kTargetConnectionLost;
  }
  return Reason::kInternal;
}

ForwardedRequest::ForwardedRequest(Attributes attributes)
    : attributes_(std::move(attributes)),
      arrival_regions_(attributes_.route.allowed_regions),
      ruled_by_(attributes_.config),
      deadline_(attributes_.arrived +
                std::min(attributes_.caller_timeout - kCallerRoundTripAllowance,
                         attributes_.route.timeout)) {}

auto ForwardedRequest::ObjectiveLeft(MonotonicTime now) const -> Duration {
  return attributes_.route.objective - (now - attributes_.arrived);
}

auto ForwardedRequest::KeepTo(ConfigVersion in_force, const std::vector<RegionName>& regions)
    -> bool {
  auto common = CommonRegions(arrival_regions_, regions);
  if (!common.has_value()) return false;
  attributes_.route.allowed_regions = *std::move(common);
  ruled_by_ = in_force;
  return true;
}

auto ForwardedRequest::OnSent(const TargetName& target, RegionName region) -> void {
  attempted_targets_.push_back(target);
  last_region_ = std::move(region);
  in_flight_ = true;
}

auto ForwardedRequest::OnEarlierAttempts(Verdict verdict, std::optional<int> arrivals) -> void {
  earlier_verdict_ = verdict;
  // Earlier builds don't state it, and an arrival that isn't counted would exceed the budget.
  earlier_arrivals_ = arrivals.value_or(1);
  arrivals_ = earlier_arrivals_;
}

auto ForwardedRequest::OnRelayEnd(AttemptOutcome outcome, std::optional<int> arrivals,
                                  MonotonicTime now) -> RequestStep {
  const bool reached_no_vm = outcome == AttemptOutcome::kNotSent;
  RecordOutcome(outcome, arrivals.value_or(reached_no_vm ? 0 : 1));
  if (outcome == AttemptOutcome::kSucceeded) return RequestStep::kDeliver;
  return reached_no_vm && MayRetry(now) ? RequestStep::kPlace : FinalStep();
}

auto ForwardedRequest::RecordOutcome(AttemptOutcome outcome, int arrivals) -> void {
  in_flight_ = false;
  arrivals_ += arrivals;
  if (arrivals > 0) has_retry_permit_ = false;
  has_response_ = outcome == AttemptOutcome::kFailed;
  last_reason_ = ReasonOf(outcome);
  const auto verdict = VerdictOf(outcome);
  if (verdict != Verdict::kNotRun) ++possible_runs_;
  // A later attempt can't undo an earlier run.
  verdict_ = std::max(verdict_, verdict);
}

auto ForwardedRequest::MayRun() const -> bool {
  return attributes_.route.retry_rule == RetryRule::kIdempotent ||
         std::max(verdict_, earlier_verdict_) == Verdict::kNotRun;
}

auto ForwardedRequest::MayRetry(MonotonicTime now) const -> bool {
  if (!MayRun()) return false;
  if (possible_runs_ >= attributes_.route.max_attempts ||
      attempted_targets_.size() >= kMaxAttempts || arrivals_ >= kMaxArrivals) {
    return false;
  }
  const auto min_time_left =
      std::chrono::duration<double>(attributes_.route.objective) * kMinRetryObjectivePart;
  return now + std::chrono::duration_cast<Duration>(min_time_left) < deadline_;
}

auto ForwardedRequest::FinalStep() const -> RequestStep {
  if (has_response_) return RequestStep::kDeliver;
  return verdict_ == Verdict::kNotRun ? RequestStep::kRefuse : RequestStep::kFail;
}

auto ForwardedRequest::OnDeadline() -> RequestStep {
  // The cancelled attempt may have run or may still run.
  if (std::exchange(in_flight_, false)) verdict_ = std::max(verdict_, Verdict::kMayHaveRun);
  return verdict_ == Verdict::kNotRun ? RequestStep::kRefuse : RequestStep::kExpire;
}

}  // namespace heatherspan
