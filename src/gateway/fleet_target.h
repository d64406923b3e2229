#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/cached_objects.h"
#include "gateway/registered_target.h"
#include "gateway/target_health.h"
#include "gateway/target_load.h"

namespace heatherspan {

/// What this node knows of one target: its registration, load, health, warmth and speed.
class FleetTarget {
 public:
  /// `joined`: it has registered while requests were being carried.
  FleetTarget(RegisteredTarget entry, RegionName region, bool joined_under_traffic,
              MonotonicTime now);

  auto entry() const -> const RegisteredTarget& { return entry_; }
  auto region() const -> const RegionName& { return region_; }
  /// Of its name, for rendezvous hashing.
  auto hash() const -> std::uint64_t { return hash_; }

  /// Takes a newer registration. A new start of the target makes all that was learned void.
  auto Update(RegisteredTarget entry, MonotonicTime now) -> void;
  /// Treats the target as cold until then, if that is later than what is known.
  auto SetColdUntil(MonotonicTime until) -> void;
  auto IsCold(MonotonicTime now) const -> bool { return now < cold_until_; }
  /// Whether a cold target may get a request now, at one request in each spacing.
  auto MaySendWhileCold(Duration interval, MonotonicTime now) const -> bool;

  auto Begin(AttemptNumber attempt, Duration max_duration, Duration expected_processing_time,
             ObjectHash object, MonotonicTime now) -> void;
  /// The attempt is over; `sign` says what it has shown, if anything.
  auto End(AttemptNumber attempt, ObjectHash object, std::optional<TargetObservation> observation,
           MonotonicTime now) -> Duration;
  /// An attempt that met no queue took that many times the expected work.
  auto UpdateSlowness(double ratio) -> void;

  /// How many times the usual work a request takes here.
  auto Slowness(MonotonicTime now) const -> double;
  /// Whether it has been sent anything since it registered or started.
  auto used() const -> bool { return used_; }
  auto joined_under_traffic() const -> bool { return joined_under_traffic_; }
  auto known_since() const -> MonotonicTime { return known_since_; }

  auto load() -> TargetLoad& { return load_; }
  auto load() const -> const TargetLoad& { return load_; }
  auto health() -> TargetHealth& { return health_; }
  auto health() const -> const TargetHealth& { return health_; }
  auto cached_objects() const -> const CachedObjects& { return cached_objects_; }

 private:
  RegisteredTarget entry_;
  RegionName region_;
  std::uint64_t hash_;
  TargetLoad load_;
  TargetHealth health_;
  CachedObjects cached_objects_;
  double slowness_ = 1;
  MonotonicTime known_since_;
  MonotonicTime cold_until_;
  MonotonicTime last_sent_while_cold_{};
  bool joined_under_traffic_;
  bool used_ = false;
};

}  // namespace heatherspan
