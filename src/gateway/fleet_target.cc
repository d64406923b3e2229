#include "gateway/fleet_target.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// Weight of the latest sample of a target's speed: about the last three requests count, so that a
/// target that turns slow is seen within seconds.
constexpr double kSpeedWeight = 0.3;
/// One sample beyond this is an outlier, or the target hangs, which the timeouts see.
constexpr double kMostSlowness = 20;
constexpr double kLeastSlowness = 0.3;

}  // namespace

FleetTarget::FleetTarget(RegisteredTarget entry, RegionName region, bool joined, MonotonicTime now)
    : entry_(std::move(entry)),
      region_(std::move(region)),
      hash_(StableHash(entry_.name.value())),
      load_(entry_.slots),
      known_since_(now),
      cold_until_(now + entry_.cold_left),
      joined_(joined) {}

auto FleetTarget::Update(RegisteredTarget entry, MonotonicTime now) -> void {
  const bool restarted = entry.start_id != entry_.start_id || entry.endpoint != entry_.endpoint;
  if (restarted) {
    health_.Reset();
    objects_.Clear();
    slowness_ = 1;
    joined_ = true;
    used_ = false;
    known_since_ = now;
    cold_until_ = now;
  }
  // A registration repeats the time that was left when it was written; only growth is news.
  if (restarted || entry.cold_left > entry_.cold_left) SetColdUntil(now + entry.cold_left);
  if (entry.cold_left == Duration::zero()) cold_until_ = std::min(cold_until_, now);
  entry_ = std::move(entry);
  load_.SetSlots(entry_.slots);
}

auto FleetTarget::SetColdUntil(MonotonicTime until) -> void {
  if (until <= cold_until_) return;
  cold_until_ = until;
  objects_.Clear();
}

auto FleetTarget::ColdTurn(Duration spacing, MonotonicTime now) const -> bool {
  return now - last_cold_send_ >= spacing;
}

auto FleetTarget::Begin(AttemptNumber attempt, Duration longest, Duration expected_work,
                        ObjectHash object, MonotonicTime now) -> void {
  used_ = true;
  if (IsCold(now)) last_cold_send_ = now;
  load_.Begin(attempt, longest, expected_work, now);
  objects_.OnSent(object);
}

auto FleetTarget::End(AttemptNumber attempt, ObjectHash object, std::optional<TargetSign> sign,
                      MonotonicTime now) -> Duration {
  const auto took = load_.End(attempt, now);
  if (sign.has_value()) health_.OnSign(*sign, now);
  if (sign == TargetSign::kServed) objects_.OnHandled(object);
  return took;
}

auto FleetTarget::LearnSpeed(double ratio) -> void {
  const double sample = std::clamp(ratio, kLeastSlowness, kMostSlowness);
  slowness_ = slowness_ * (1 - kSpeedWeight) + sample * kSpeedWeight;
}

auto FleetTarget::Slowness(MonotonicTime now) const -> double {
  return std::max(slowness_, std::min(kMostSlowness, load_.Overdue(now)));
}

}  // namespace heatherspan
