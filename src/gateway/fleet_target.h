#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/apartness.h"
#include "gateway/cached_objects.h"
#include "gateway/registered_target.h"
#include "gateway/reported_slowdown.h"
#include "gateway/target_health.h"
#include "gateway/target_limit.h"
#include "gateway/target_load.h"
#include "gateway/target_pause.h"

namespace heatherspan {

/// The state that this node keeps for one target: registration, load, health, warm-up and speed.
class FleetTarget {
 public:
  /// `joined_under_traffic`: the target registered after requests had begun to be forwarded.
  FleetTarget(RegisteredTarget entry, RegionName region, bool joined_under_traffic,
              MonotonicTime now);

  auto entry() const -> const RegisteredTarget& { return entry_; }
  auto region() const -> const RegionName& { return region_; }
  /// Hash of the target's name, for rendezvous hashing.
  auto hash() const -> std::uint64_t { return hash_; }

  /// Applies a newer registration. A restart of the target discards all learned state.
  auto Update(RegisteredTarget entry, MonotonicTime now) -> void;
  /// Treats the target as cold until the given time if that is later than the current end of its
  /// warm-up.
  auto SetColdUntil(MonotonicTime until) -> void;
  auto IsCold(MonotonicTime now) const -> bool { return now < cold_until_; }
  /// Returns whether a cold target may get a request now, at one request per interval.
  auto MaySendWhileCold(Duration interval, MonotonicTime now) const -> bool;

  auto Begin(AttemptNumber attempt, Duration max_duration, Duration expected_processing_time,
             ObjectHash object, MonotonicTime now) -> void;
  /// Ends an attempt. `observation` is what the attempt has shown of the target, if anything.
  /// Returns the duration of the attempt.
  auto End(AttemptNumber attempt, ObjectHash object, std::optional<TargetObservation> observation,
           MonotonicTime now) -> Duration;
  /// Keeps other requests of this node away from the target until the attempt ends.
  auto Reserve(AttemptNumber attempt, Apartness apartness) -> void {
    reserved_for_ = attempt;
    reserved_ = apartness;
  }
  auto reserved() const -> Apartness { return reserved_; }
  /// Learns from an attempt without queue wait. `ratio` is its processing time, without the
  /// reported slowdown, divided by the usual one.
  auto UpdateSlowness(double ratio) -> void;

  /// Returns the expected processing time of a request that the target starts at the given time,
  /// divided by the usual one.
  auto Slowness(MonotonicTime now, MonotonicTime start) const -> double;
  /// Returns the queue wait of a new request.
  auto QueueWait(MonotonicTime now) const -> Duration;
  /// Whether the target has been sent a request since it registered or restarted.
  auto used() const -> bool { return used_; }
  auto joined_under_traffic() const -> bool { return joined_under_traffic_; }
  auto known_since() const -> MonotonicTime { return known_since_; }

  auto load() -> TargetLoad& { return load_; }
  auto load() const -> const TargetLoad& { return load_; }
  auto reported_slowdown() -> ReportedSlowdown& { return reported_slowdown_; }
  auto reported_slowdown() const -> const ReportedSlowdown& { return reported_slowdown_; }
  auto pause() -> TargetPause& { return pause_; }
  auto pause() const -> const TargetPause& { return pause_; }
  auto limit() -> TargetLimit& { return limit_; }
  auto limit() const -> const TargetLimit& { return limit_; }
  auto health() -> TargetHealth& { return health_; }
  auto health() const -> const TargetHealth& { return health_; }
  auto cached_objects() const -> const CachedObjects& { return cached_objects_; }

 private:
  RegisteredTarget entry_;
  RegionName region_;
  std::uint64_t hash_;
  TargetLoad load_;
  TargetLimit limit_;
  TargetPause pause_;
  TargetHealth health_;
  CachedObjects cached_objects_;
  AttemptNumber reserved_for_ = 0;
  Apartness reserved_ = Apartness::kNone;
  double slowness_ = 1;  ///< By this node's own measurements, without what the target reports.
  ReportedSlowdown reported_slowdown_;
  MonotonicTime known_since_;
  MonotonicTime cold_until_;
  MonotonicTime last_sent_while_cold_{};
  bool joined_under_traffic_;
  bool used_ = false;
};

}  // namespace heatherspan
