#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "base/verdict.h"
#include "gateway/apartness.h"
#include "gateway/cached_objects.h"
#include "gateway/placement_record.h"
#include "gateway/route.h"
#include "gateway/target_health.h"

namespace heatherspan {

/// How an attempt at one target ended.
enum class AttemptOutcome {
  kSucceeded,  ///< A complete response that reports no failure.
  kFailed,     ///< A complete response that reports a failure of the target.
  kRefused,    ///< The target stated that it did not run the request.
  kReplaced,   ///< Another instance has the address. The request did not run.
  kNotSent,    ///< No connection, nothing was written.
  kLost,       ///< The request was written, but no complete response arrived.
};

/// Returns whether the target may have run the request.
auto VerdictOf(AttemptOutcome outcome) -> Verdict;
/// Returns what the outcome shows of the target.
auto ObservationOf(AttemptOutcome outcome) -> TargetObservation;
/// Returns why a request with this outcome was not served.
auto ReasonOf(AttemptOutcome outcome) -> Reason;

/// The next step for a request.
enum class RequestStep {
  kPlace,    ///< Choose a target and send the request there.
  kDeliver,  ///< Deliver the response of the last attempt to the caller.
  kRefuse,   ///< Report that the request has not run, with a time to retry after.
  kLimit,    ///< The same, because the quota of the team is used up.
  kReject,   ///< Report that the request has not run and must not be repeated.
  kFail,     ///< Report that the request failed and may have run.
  kExpire,   ///< Report that the deadline has passed and the request may have run.
};

/// The state of one request from its arrival to its response: which attempts it may still make and
/// what the caller may be told. The class does no I/O.
class ForwardedRequest {
 public:
  struct Attributes {
    RequestId id;
    /// A copy from the time when the request arrived. Later configurations narrow its regions.
    Route route;
    ConfigVersion config;  ///< That the route was taken from.
    ServiceName service;
    ObjectHash object = 0;
    MonotonicTime arrived;
    Duration caller_timeout{};  ///< How long the caller waits after the arrival.
    bool resubmitted = false;   ///< The request has been refused before.
  };

  explicit ForwardedRequest(Attributes attributes);

  auto attributes() const -> const Attributes& { return attributes_; }
  auto attempted_targets() const -> const std::vector<TargetName>& { return attempted_targets_; }
  auto attempts() const -> std::size_t { return attempted_targets_.size(); }
  auto verdict() const -> Verdict { return verdict_; }
  auto last_reason() const -> Reason { return last_reason_; }
  /// The end of the caller timeout or of the route timeout, whichever is earlier.
  auto deadline() const -> MonotonicTime { return deadline_; }
  /// Returns the time that is left of the objective, counted from the arrival of this request.
  auto ObjectiveLeft(MonotonicTime now) const -> Duration;

  /// Applies a further retry rule for the request. The strictest of all rules holds.
  auto Restrict(RetryRule rule) -> void {
    if (rule == RetryRule::kAtMostOnce) attributes_.route.retry_rule = rule;
  }

  /// A configuration is in force that allows the request these regions, all if empty. The request
  /// may run only where that of the arrival allows it as well. Returns false if that is nowhere.
  auto KeepTo(ConfigVersion in_force, const std::vector<RegionName>& regions) -> bool;
  /// The latest configuration by which the request may be sent.
  auto ruled_by() const -> ConfigVersion { return ruled_by_; }

  /// Another entry VM has made attempts with this verdict before it passed the request on.
  /// `arrivals`: at targets; empty if the VM doesn't state it.
  auto OnEarlierAttempts(Verdict verdict, std::optional<int> arrivals) -> void;
  /// Whether the request may run, also if earlier attempts have run it.
  auto MayRun() const -> bool;

  /// Whether the next attempt may share its target. `own_rank`: see PlacementQuery; the same at all
  /// entry VMs.
  auto SetApartness(Apartness apartness, std::optional<ObjectHash> own_rank) -> void {
    apartness_ = apartness;
    own_rank_ = own_rank;
  }
  auto apartness() const -> Apartness { return apartness_; }
  auto own_rank() const -> std::optional<ObjectHash> { return own_rank_; }

  /// How often the request has arrived at targets, from all entry VMs. An attempt without a known
  /// outcome counts as arrived.
  auto arrivals() const -> int { return arrivals_; }
  /// Those that this entry VM has caused.
  auto own_arrivals() const -> int { return arrivals_ - earlier_arrivals_; }
  /// Whether the next attempt has to be taken from the retry budget. Each arrival after the first
  /// is a retry, whichever entry VM caused the first one.
  auto NeedsRetryPermit() const -> bool { return arrivals_ > 0 && !has_retry_permit_; }
  /// The next attempt that may arrive has been taken from the retry budget.
  auto GrantRetryPermit() -> void { has_retry_permit_ = true; }
  /// Gives the permit away. Returns whether there was one.
  auto TakeRetryPermit() -> bool { return std::exchange(has_retry_permit_, false); }

  /// A target or another entry VM is sought for the next attempt.
  auto OnPlacing(PlacementRecord record) -> void { last_placement_ = std::move(record); }
  /// Empty before the first placement.
  auto last_placement() const -> const PlacementRecord& { return last_placement_; }
  /// `region`: of the target, or of the entry VM to which the request is passed on.
  auto OnSent(const TargetName& target, RegionName region = RegionName()) -> void;
  /// Of the last attempt.
  auto last_region() const -> const RegionName& { return last_region_; }
  /// Ends an attempt. `acquire_retry` asks the retry budget and is called only if a retry is
  /// allowed otherwise.
  template <class AcquireRetry>
  auto OnEnd(AttemptOutcome outcome, MonotonicTime now, AcquireRetry acquire_retry) -> RequestStep {
    // An attempt that reached no target adds no load.
    const bool reached_no_target = outcome == AttemptOutcome::kNotSent;
    RecordOutcome(outcome, reached_no_target ? 0 : 1);
    if (outcome == AttemptOutcome::kSucceeded) return RequestStep::kDeliver;
    if (!MayRetry(now)) return FinalStep();
    if (reached_no_target) return RequestStep::kPlace;
    if (!acquire_retry()) return FinalStep();
    GrantRetryPermit();
    return RequestStep::kPlace;
  }
  /// Another entry VM, to which the request was passed on, has answered or has been lost. It has
  /// repeated the request as far as it may be. `arrivals`: those that it caused; empty if it
  /// doesn't state them.
  auto OnRelayEnd(AttemptOutcome outcome, std::optional<int> arrivals, MonotonicTime now)
      -> RequestStep;
  /// No target can take the request, at the first attempt or at a retry.
  auto OnNoTarget() const -> RequestStep { return FinalStep(); }
  /// The deadline has passed, or the request ends early because this process stops.
  auto OnDeadline() -> RequestStep;

 private:
  auto RecordOutcome(AttemptOutcome outcome, int arrivals) -> void;
  auto MayRetry(MonotonicTime now) const -> bool;
  auto FinalStep() const -> RequestStep;

  Attributes attributes_;
  std::vector<RegionName> arrival_regions_;
  ConfigVersion ruled_by_;
  MonotonicTime deadline_;
  std::vector<TargetName> attempted_targets_;
  PlacementRecord last_placement_;
  RegionName last_region_;
  Verdict verdict_ = Verdict::kNotRun;
  Verdict earlier_verdict_ = Verdict::kNotRun;  ///< Of another entry VM's attempts.
  Apartness apartness_ = Apartness::kNone;
  std::optional<ObjectHash> own_rank_;
  Reason last_reason_ = Reason::kNone;
  int possible_runs_ = 0;  ///< Attempts that may have run the request.
  int arrivals_ = 0;
  int earlier_arrivals_ = 0;
  bool has_retry_permit_ = false;
  bool in_flight_ = false;
  bool has_response_ = false;  ///< The last attempt returned a deliverable failure response.
};

}  // namespace heatherspan
