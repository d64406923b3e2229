#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "base/verdict.h"
#include "gateway/cached_objects.h"
#include "gateway/route.h"
#include "gateway/target_health.h"

namespace heatherspan {

/// How an attempt at one target ended.
enum class AttemptOutcome {
  kSucceeded,  ///< A complete response that is no failure.
  kFailed,     ///< A complete response that reports a failure of the target.
  kRefused,    ///< The target said that it did not run the request.
  kReplaced,   ///< Another instance has the address; the request was not run.
  kNotSent,    ///< Nothing was written: no connection.
  kLost,       ///< Written, but without a complete response.
};

/// Whether the target may have run the request.
auto VerdictOf(AttemptOutcome outcome) -> Verdict;
/// What the end of an attempt shows of the target.
auto ObservationOf(AttemptOutcome outcome) -> TargetObservation;
/// Why a request that ends this way was not served.
auto ReasonOf(AttemptOutcome outcome) -> Reason;

/// What to do next with a request.
enum class RequestStep {
  kPlace,    ///< Choose a target and send the request there.
  kDeliver,  ///< Pass the response of the last attempt on.
  kRefuse,   ///< Say that the request has not run, and when to come back.
  kFail,     ///< Say that it failed and may have run.
  kExpire,   ///< Say that the time is up; it may have run.
};

/// The life of one request, from its arrival to its answer: which attempts it may still make and
/// what its caller may be told. It does no I/O.
class ForwardedRequest {
 public:
  struct Attributes {
    RequestId id;
    Route route;  ///< As it was when the request arrived.
    ServiceName service;
    ObjectHash object = 0;
    MonotonicTime arrived;
    Duration caller_timeout{};  ///< How long the caller waits from then on.
    bool resubmitted = false;   ///< It has been refused before.
  };

  explicit ForwardedRequest(Attributes attributes);

  auto attributes() const -> const Attributes& { return attributes_; }
  auto attempted_targets() const -> const std::vector<TargetName>& { return attempted_targets_; }
  auto attempts() const -> std::size_t { return attempted_targets_.size(); }
  auto verdict() const -> Verdict { return verdict_; }
  auto last_reason() const -> Reason { return last_reason_; }
  /// When the caller or the operators no longer want it.
  auto deadline() const -> MonotonicTime { return deadline_; }
  /// What is left of the objective, counted from the caller's first attempt as far as known.
  auto ObjectiveLeft(MonotonicTime now) const -> Duration;

  auto OnSent(const TargetName& target) -> void;
  /// The attempt has ended. `take_retry` asks the retry budget, and only if a repeat is of use.
  template <class AcquireRetry>
  auto OnEnd(AttemptOutcome outcome, MonotonicTime now, AcquireRetry acquire_retry) -> RequestStep {
    RecordOutcome(outcome);
    if (outcome == AttemptOutcome::kSucceeded) return RequestStep::kDeliver;
    // An attempt that never reached a target costs no target anything.
    const bool free = outcome == AttemptOutcome::kNotSent;
    if (MayRetry(now) && (free || acquire_retry())) return RequestStep::kPlace;
    return FinalStep();
  }
  /// No target can take it (now or at a repeat).
  auto OnNoTarget() const -> RequestStep { return FinalStep(); }
  /// `give_up_at` has passed.
  auto OnDeadline() -> RequestStep;

 private:
  auto RecordOutcome(AttemptOutcome outcome) -> void;
  auto MayRetry(MonotonicTime now) const -> bool;
  auto FinalStep() const -> RequestStep;

  Attributes attributes_;
  MonotonicTime deadline_;
  std::vector<TargetName> attempted_targets_;
  Verdict verdict_ = Verdict::kNotRun;
  Reason last_reason_ = Reason::kNone;
  int possible_runs_ = 0;  ///< Attempts that may have run it.
  bool in_flight_ = false;
  bool has_response_ = false;  ///< The last attempt brought a response that may be passed on.
};

}  // namespace heatherspan
