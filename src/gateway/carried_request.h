#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "base/verdict.h"
#include "gateway/object_memory.h"
#include "gateway/route.h"
#include "gateway/target_health.h"

namespace heatherspan {

/// How an attempt at one target ended.
enum class AttemptEnd {
  kAnswered,  ///< A complete response that is no failure.
  kFailed,    ///< A complete response that reports a failure of the target.
  kRefused,   ///< The target said that it did not run the request.
  kReplaced,  ///< Another instance has the address; the request was not run.
  kNotSent,   ///< Nothing was written: no connection.
  kLost,      ///< Written, but without a complete response.
};

/// Whether the target may have run the request.
auto VerdictOf(AttemptEnd end) -> Verdict;
/// What the end of an attempt shows of the target.
auto SignOf(AttemptEnd end) -> TargetSign;
/// Why a request that ends this way was not served.
auto ReasonOf(AttemptEnd end) -> Reason;

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
class CarriedRequest {
 public:
  struct Facts {
    RequestId id;
    Route route;  ///< As it was when the request arrived.
    ServiceName service;
    ObjectHash object = 0;
    MonotonicTime arrived;
    Duration caller_patience{};  ///< How long the caller waits from then on.
    bool returning = false;      ///< It has been refused before.
  };

  explicit CarriedRequest(Facts facts);

  auto facts() const -> const Facts& { return facts_; }
  auto tried() const -> const std::vector<TargetName>& { return tried_; }
  auto attempts() const -> std::size_t { return tried_.size(); }
  auto verdict() const -> Verdict { return verdict_; }
  auto last_reason() const -> Reason { return last_reason_; }
  /// When the caller or the operators no longer want it.
  auto give_up_at() const -> MonotonicTime { return give_up_at_; }
  /// What is left of the objective, counted from the caller's first attempt as far as known.
  auto ObjectiveLeft(MonotonicTime now) const -> Duration;

  auto OnSent(const TargetName& target) -> void;
  /// The attempt has ended. `take_retry` asks the retry budget, and only if a repeat is of use.
  template <class TakeRetry>
  auto OnEnd(AttemptEnd end, MonotonicTime now, TakeRetry take_retry) -> RequestStep {
    Record(end);
    if (end == AttemptEnd::kAnswered) return RequestStep::kDeliver;
    // An attempt that never reached a target costs no target anything.
    const bool free = end == AttemptEnd::kNotSent;
    if (MayRepeat(now) && (free || take_retry())) return RequestStep::kPlace;
    return Conclusion();
  }
  /// No target can take it (now or at a repeat).
  auto OnNoTarget() const -> RequestStep { return Conclusion(); }
  /// `give_up_at` has passed.
  auto OnGiveUp() -> RequestStep;

 private:
  auto Record(AttemptEnd end) -> void;
  auto MayRepeat(MonotonicTime now) const -> bool;
  auto Conclusion() const -> RequestStep;

  Facts facts_;
  MonotonicTime give_up_at_;
  std::vector<TargetName> tried_;
  Verdict verdict_ = Verdict::kNotRun;
  Reason last_reason_ = Reason::kNone;
  int possible_runs_ = 0;  ///< Attempts that may have run it.
  bool in_flight_ = false;
  bool has_response_ = false;  ///< The last attempt brought a response that may be passed on.
};

}  // namespace heatherspan
