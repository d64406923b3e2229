#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "admission/target_pool_options.h"
#include "admission/target_report.h"
#include "admission/target_result.h"
#include "base/time.h"
#include "document/target.h"

namespace heatherspan {

/// The state of one target that this node owns, as the node currently assumes it.
class TargetState {
 public:
  TargetState(Target target, int slots, const TargetPoolOptions& options);

  auto target() const -> const std::shared_ptr<const Target>& { return target_; }
  auto in_flight() const -> int { return static_cast<int>(in_flight_.size()); }
  auto latency() const -> Duration { return latency_; }

  /// Applies the current configuration of the target, in which its slots and endpoint may differ.
  auto Reconfigure(const Target& target, int slots) -> void;
  auto SetRemoved() -> void { removed_ = true; }
  auto removed() const -> bool { return removed_; }
  auto SetDraining(bool draining) -> void { drain_ordered_ = draining; }

  /// True when a drain is ordered or when the target's own answer or report says "draining".
  auto IsDraining() const -> bool;
  auto IsEjected(MonotonicTime now) const -> bool { return now < ejected_until_; }
  auto IsPaused(MonotonicTime now) const -> bool { return now < paused_until_; }

  /// The number of slots that may be used at this time, limited by slow start.
  auto SlotLimit(MonotonicTime now) const -> int;
  auto HasFreeSlot(MonotonicTime now) const -> bool;

  auto BeginRequest(std::uint64_t sequence, MonotonicTime now) -> void;
  /// Returns false when no request with this sequence number is in flight.
  auto FinishRequest(std::uint64_t sequence) -> bool;

  /// Returns true when the target is failing after this result, that is at the ejection threshold.
  auto OnResult(const TargetResult& result, MonotonicTime now) -> bool;
  /// Returns the same as OnResult.
  auto OnProbe(bool healthy, MonotonicTime now) -> bool;
  auto OnReport(const TargetReport& report, MonotonicTime now) -> void;
  auto Eject(MonotonicTime now) -> void;

  /// True when the failures reach the ejection threshold, but the target is not ejected. A failing
  /// target gets one request at a time, with a pause after each failure.
  auto IsFailing() const -> bool { return consecutive_failures_ >= options_.failures_to_eject; }
  auto PauseFailing(MonotonicTime now) -> void;

  auto IsProbeDue(MonotonicTime now) const -> bool;
  auto MarkProbed(MonotonicTime now) -> void { probed_at_ = now; }

  /// Compares the requests in flight, then the reported busy slots, then the latencies.
  auto IsBetterThan(const TargetState& other, MonotonicTime now) const -> bool;

 private:
  auto CountFailure() -> bool;
  auto OnAnswered(Duration latency) -> void;
  auto OnShed(MonotonicTime now) -> void;
  auto StartRamp(Duration length) -> void;
  /// The busy slots from the latest report; nullopt when the report is too old or when a live
  /// request completed after it.
  auto ReportedBusySlots(MonotonicTime now) const -> std::optional<int>;

  std::shared_ptr<const Target> target_;
  int slots_;
  const TargetPoolOptions& options_;
  std::vector<std::uint64_t> in_flight_;
  bool removed_ = false;

  Duration latency_{};  ///< Exponentially smoothed; zero until the first answer.
  int consecutive_failures_ = 0;
  int recent_ejections_ = 0;
  int answers_since_ejection_ = 0;
  int sheds_since_answer_ = 0;
  MonotonicTime ejected_until_;
  MonotonicTime paused_until_;

  Duration ramp_duration_{};
  std::optional<MonotonicTime> ramp_started_at_;  ///< The time of the first request of the ramp.

  bool drain_ordered_ = false;
  bool drain_reported_ = false;
  std::optional<MonotonicTime> drain_answered_at_;

  std::optional<TargetReport> report_;
  MonotonicTime reported_at_;
  std::optional<MonotonicTime> live_completed_at_;
  std::optional<MonotonicTime> probed_at_;
};

}  // namespace heatherspan
