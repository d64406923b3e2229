#include "gateway/carried_request.h"

#include <algorithm>
#include <utility>

namespace heatherspan {
namespace {

/// Most targets that are asked, run or not: each refusal costs the caller a round trip.
constexpr std::size_t kMaxAttempts = 4;
/// The caller began to wait before its request arrived, and the answer takes its way back.
constexpr Duration kAnswerTime = std::chrono::milliseconds(30);
/// A repeat needs at least this part of the objective, or it would be an attempt in name only.
constexpr double kLeastTimeForRepeat = 0.25;

}  // namespace

auto VerdictOf(AttemptEnd end) -> Verdict {
  switch (end) {
    case AttemptEnd::kAnswered:
    case AttemptEnd::kFailed:
      return Verdict::kRan;
    case AttemptEnd::kRefused:
    case AttemptEnd::kReplaced:
    case AttemptEnd::kNotSent:
      return Verdict::kNotRun;
    case AttemptEnd::kLost:
      return Verdict::kMayHaveRun;
  }
  return Verdict::kMayHaveRun;
}

auto SignOf(AttemptEnd end) -> TargetSign {
  switch (end) {
    case AttemptEnd::kAnswered:
      return TargetSign::kServed;
    case AttemptEnd::kRefused:
      return TargetSign::kRefused;
    case AttemptEnd::kReplaced:
      return TargetSign::kReplaced;
    case AttemptEnd::kNotSent:
      return TargetSign::kUnreachable;
    case AttemptEnd::kFailed:
    case AttemptEnd::kLost:
      return TargetSign::kFailed;
  }
  return TargetSign::kFailed;
}

auto ReasonOf(AttemptEnd end) -> Reason {
  switch (end) {
    case AttemptEnd::kAnswered:
      return Reason::kNone;
    case AttemptEnd::kFailed:
      return Reason::kTargetFailed;
    case AttemptEnd::kRefused:
      return Reason::kTargetRefused;
    case AttemptEnd::kReplaced:
      return Reason::kTargetReplaced;
    case AttemptEnd::kNotSent:
      return Reason::kTargetConnect;
    case AttemptEnd::kLost:
      return Reason::kTargetConnectionLost;
  }
  return Reason::kInternal;
}

CarriedRequest::CarriedRequest(Facts facts)
    : facts_(std::move(facts)),
      give_up_at_(facts_.arrived +
                  std::min(facts_.caller_patience - kAnswerTime, facts_.route.timeout)) {}

auto CarriedRequest::ObjectiveLeft(MonotonicTime now) const -> Duration {
  return facts_.route.objective - (now - facts_.arrived);
}

auto CarriedRequest::OnSent(const TargetName& target) -> void {
  tried_.push_back(target);
  in_flight_ = true;
}

auto CarriedRequest::Record(AttemptEnd end) -> void {
  in_flight_ = false;
  has_response_ = end == AttemptEnd::kFailed;
  last_reason_ = ReasonOf(end);
  const auto verdict = VerdictOf(end);
  if (verdict != Verdict::kNotRun) ++possible_runs_;
  // What has happened once can't be taken back by a later attempt.
  verdict_ = std::max(verdict_, verdict);
}

auto CarriedRequest::MayRepeat(MonotonicTime now) const -> bool {
  const bool once = facts_.route.repeat == RepeatRule::kAtMostOnce;
  if (once && verdict_ != Verdict::kNotRun) return false;
  if (possible_runs_ >= facts_.route.max_attempts || tried_.size() >= kMaxAttempts) return false;
  const auto least = std::chrono::duration<double>(facts_.route.objective) * kLeastTimeForRepeat;
  return now + std::chrono::duration_cast<Duration>(least) < give_up_at_;
}

auto CarriedRequest::Conclusion() const -> RequestStep {
  if (has_response_) return RequestStep::kDeliver;
  return verdict_ == Verdict::kNotRun ? RequestStep::kRefuse : RequestStep::kFail;
}

auto CarriedRequest::OnGiveUp() -> RequestStep {
  // The attempt that is cut short here may have run, or may still.
  if (std::exchange(in_flight_, false)) verdict_ = std::max(verdict_, Verdict::kMayHaveRun);
  return verdict_ == Verdict::kNotRun ? RequestStep::kRefuse : RequestStep::kExpire;
}

}  // namespace heatherspan
