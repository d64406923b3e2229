#include "gateway/fleet_target.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// Weight of the latest sample. About the last three requests count, so that a target that becomes
/// slow is detected within seconds.
constexpr double kSlownessWeight = 0.3;
/// A larger sample is an outlier, or the target hangs, which the timeouts detect.
constexpr double kMaxSlowness = 20;
constexpr double kMinSlowness = 0.3;

}  // namespace

FleetTarget::FleetTarget(RegisteredTarget entry, RegionName region, bool joined_under_traffic,
                         MonotonicTime now)
    : entry_(std::move(entry)),
      region_(std::move(region)),
      hash_(StableHash(entry_.name.value())),
      load_(entry_.slots),
      known_since_(now),
      cold_until_(now + entry_.cold_left),
      joined_under_traffic_(joined_under_traffic) {}

auto FleetTarget::Update(RegisteredTarget entry, MonotonicTime now) -> void {
  const bool restarted = entry.start_id != entry_.start_id || entry.endpoint != entry_.endpoint;
  if (restarted) {
    health_.Reset();
    limit_ = TargetLimit();
    pause_ = TargetPause();
    cached_objects_.Clear();
    slowness_ = 1;
    reported_slowdown_ = ReportedSlowdown();
    joined_under_traffic_ = true;
    used_ = false;
    known_since_ = now;
    cold_until_ = now;
  }
  // A registration repeats the remaining time from when it was written. Only a larger value is new
  // information.
  if (restarted || entry.cold_left > entry_.cold_left) SetColdUntil(now + entry.cold_left);
  if (entry.cold_left == Duration::zero()) cold_until_ = std::min(cold_until_, now);
  // A target that leaves doesn't stay, whatever an older state of the store shows.
  if (!restarted) entry.draining = entry.draining || entry_.draining;
  entry_ = std::move(entry);
  load_.SetSlots(entry_.slots);
}

auto FleetTarget::SetColdUntil(MonotonicTime until) -> void {
  if (until <= cold_until_) return;
  cold_until_ = until;
  cached_objects_.Clear();
}

auto FleetTarget::MaySendWhileCold(Duration interval, MonotonicTime now) const -> bool {
  return now - last_sent_while_cold_ >= interval;
}

auto FleetTarget::Begin(AttemptNumber attempt, Duration max_duration,
                        Duration expected_processing_time, ObjectHash object, MonotonicTime now)
    -> void {
  used_ = true;
  if (IsCold(now)) last_sent_while_cold_ = now;
  limit_.OnSent(now);
  load_.Begin(attempt, max_duration, expected_processing_time, now);
  cached_objects_.OnSent(object);
}

auto FleetTarget::End(AttemptNumber attempt, ObjectHash object,
                      std::optional<TargetObservation> observation, MonotonicTime now) -> Duration {
  if (attempt == reserved_for_) reserved_ = Apartness::kNone;
  const auto duration = load_.End(attempt, now);
  if (observation.has_value()) health_.OnObservation(*observation, now);
  if (observation == TargetObservation::kServed) {
    cached_objects_.OnHandled(object);
    pause_.OnServed(now);
  }
  return duration;
}

auto FleetTarget::UpdateSlowness(double ratio) -> void {
  const double sample = std::clamp(ratio, kMinSlowness, kMaxSlowness);
  slowness_ = slowness_ * (1 - kSlownessWeight) + sample * kSlownessWeight;
}

auto FleetTarget::Slowness(MonotonicTime now, MonotonicTime start) const -> double {
  return std::max(slowness_ * reported_slowdown_.At(start),
                  std::min(kMaxSlowness, load_.OverdueRatio(now)));
}

auto FleetTarget::QueueWait(MonotonicTime now) const -> Duration {
  return reported_slowdown_.Stretch(load_.QueueWait(now), now);
}

}  // namespace heatherspan
