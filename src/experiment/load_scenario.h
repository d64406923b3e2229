#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/route.h"

namespace heatherspan {

/// An availability zone of a scenario.
struct ScenarioZone {
  ZoneName zone;
  RegionName region;
  int entry_vms = 1;
  int targets = 1;
  double requests_per_second = 1;  ///< From the callers in the zone.
  double wave_phase = 0;           ///< Phase of the zone's traffic wave, in periods.
};

/// A fault or a change of load that a scenario injects.
struct ScenarioFault {
  enum class Kind {
    kEvacuation,   ///< The zone is evacuated: its targets get no requests.
    kTargetsLost,  ///< A fraction of the zone's targets ends permanently; connections break.
    kTargetsSlow,  ///< A fraction of the zone's targets takes `factor` times as long.
    kBurst,        ///< The zone has `factor` times its traffic.
    kTargetsJoin,  ///< New targets join the zone: `fraction` of its initial number.
  };

  Kind kind = Kind::kBurst;
  Duration at{};
  Duration duration{};
  ZoneName zone;
  double fraction = 1;
  double factor = 1;
};

/// A kind of request, with its own route.
struct ScenarioKind {
  std::string name = "route";
  double share = 1;  ///< Of the requests of all kinds, relative to the other kinds.
  int priority = 0;
  RetryRule retry_rule = RetryRule::kIdempotent;
  int objects_per_region = 100;
  Duration processing_time{};  ///< Mean, for an uncached object.
  Duration objective{};
  Duration timeout{};
  Duration caller_timeout{};
};

/// One service under load: its targets, the entry VMs and their callers.
struct LoadScenario {
  std::string name = "scenario";
  std::vector<ScenarioZone> zones;
  std::vector<ScenarioFault> faults;
  Duration length = std::chrono::seconds(30);
  std::uint64_t seed = 1;

  // Targets.
  int slots = 3;
  int queue = 9;  ///< Waiting requests per target; further requests are refused.
  int cached_objects = 12;
  bool reports_load = true;
  Duration cold_time = std::chrono::seconds(3);

  // Requests. Unless kinds are listed, all are of one kind, with the values that follow.
  std::vector<ScenarioKind> kinds;
  RetryRule retry_rule = RetryRule::kIdempotent;
  int objects_per_region = 100;
  Duration processing_time = std::chrono::milliseconds(880);  ///< Mean, for an uncached object.
  double cache_hit_factor = 0.3;  ///< Fraction of `processing_time` that a cache hit takes.
  double processing_time_deviation = 0.15;  ///< Standard deviation, as a fraction of the mean.
  Duration objective = std::chrono::milliseconds(600);
  Duration timeout = std::chrono::milliseconds(2500);
  Duration caller_timeout = std::chrono::milliseconds(4000);
  double wave_amplitude = 0.55;  ///< Amplitude of the traffic waves, as a fraction of the mean.
  Duration wave_period = std::chrono::seconds(36);

  // One-way delays.
  Duration zone_delay = std::chrono::microseconds(500);
  Duration region_delay = std::chrono::milliseconds(35);
};

}  // namespace heatherspan
