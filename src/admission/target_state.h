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

/// What a node knows of one target that it owns.
class TargetState {
 public:
  TargetState(Target target, int slots, const TargetPoolOptions& options);

  auto target() const -> const std::shared_ptr<const Target>& { return target_; }
  auto in_flight() const -> int { return static_cast<int>(in_flight_.size()); }
  auto latency() const -> Duration { return latency_; }

  /// The target is configured again: its slots and its endpoint may have changed.
  auto Reconfigure(const Target& target, int slots) -> void;
  auto SetRemoved() -> void { removed_ = true; }
  auto removed() const -> bool { return removed_; }
  auto SetDraining(bool draining) -> void { drain_ordered_ = draining; }

  /// Drained by order, by its own answer or by its report.
  auto IsDraining() const -> bool;
  auto IsEjected(MonotonicTime now) const -> bool { return now < ejected_until_; }
  auto IsPaused(MonotonicTime now) const -> bool { return now < paused_until_; }

  /// The slots that may be used at this time, with slow start.
  auto SlotLimit(MonotonicTime now) const -> int;
  auto HasFreeSlot(MonotonicTime now) const -> bool;

  auto BeginRequest(std::uint64_t sequence, MonotonicTime now) -> void;
  /// False when the sequence isn't in flight.
  auto FinishRequest(std::uint64_t sequence) -> bool;

  /// True when the outcome brings the target to the ejection threshold.
  auto OnResult(const TargetResult& result, MonotonicTime now) -> bool;
  auto OnProbe(bool healthy, MonotonicTime now) -> bool;
  auto OnReport(const TargetReport& report, MonotonicTime now) -> void;
  auto Eject(MonotonicTime now) -> void;

  /// At the ejection threshold, but not ejected. It is tried now and then with one request.
  auto IsFailing() const -> bool { return consecutive_failures_ >= options_.failures_to_eject; }
  auto PauseFailing(MonotonicTime now) -> void;

  auto IsProbeDue(MonotonicTime now) const -> bool;
  auto MarkProbed(MonotonicTime now) -> void { probed_at_ = now; }

  /// Whether this target is the better choice of the two.
  auto IsBetterThan(const TargetState& other, MonotonicTime now) const -> bool;

 private:
  auto CountFailure() -> bool;
  auto OnAnswered(Duration latency) -> void;
  auto OnShed(MonotonicTime now) -> void;
  auto StartRamp(Duration length) -> void;
  /// The busy slots by report; nothing when the report is old or own observations are fresh.
  auto ReportedBusySlots(MonotonicTime now) const -> std::optional<int>;

  std::shared_ptr<const Target> target_;
  int slots_;
  const TargetPoolOptions& options_;
  std::vector<std::uint64_t> in_flight_;
  bool removed_ = false;

  Duration latency_{};  ///< Smoothed; zero until the first answer.
  int consecutive_failures_ = 0;
  int recent_ejections_ = 0;
  int answers_since_ejection_ = 0;
  int consecutive_sheds_ = 0;
  MonotonicTime ejected_until_;
  MonotonicTime paused_until_;

  Duration ramp_duration_{};
  std::optional<MonotonicTime> ramp_started_at_;  ///< The first request of the ramp.

  bool drain_ordered_ = false;
  bool drain_reported_ = false;
  std::optional<MonotonicTime> drain_answered_at_;

  std::optional<TargetReport> report_;
  MonotonicTime reported_at_;
  std::optional<MonotonicTime> live_completed_at_;
  std::optional<MonotonicTime> probed_at_;
};

}  // namespace heatherspan
