#pragma once

#include <chrono>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "messages/node_load.h"
#include "steering/zone_load.h"
#include "steering/zone_outcome.h"

namespace heatherspan {

/// Estimates the load of the zones for an entry VM that receives requests. The inputs are the
/// reports of the zones' entry VMs and the outcomes of this node's own requests, which take
/// precedence. An expired report makes the load unknown; it never makes a zone idle or dead.
class ZoneLoadTracker {
 public:
  explicit ZoneLoadTracker(Duration report_lifetime = std::chrono::seconds(5));

  auto OnReport(const NodeLoad& load, MonotonicTime now) -> void;

  /// The retry_after of a refusal, if present, bounds the time for which the zone counts as
  /// refusing.
  auto OnOutcome(const ZoneName& zone, const ServiceName& service, ZoneOutcome outcome,
                 std::optional<Duration> retry_after, MonotonicTime now) -> void;

  auto Load(const ZoneName& zone, const ServiceName& service, MonotonicTime now) const -> ZoneLoad;

  /// The free slots of a service at one node; empty when unknown.
  auto FreeSlots(const ZoneName& zone, InstanceId instance, const ServiceName& service,
                 MonotonicTime now) const -> std::optional<int>;

  /// The utilization of a node over all its services; empty when unknown.
  auto NodeUtilization(const ZoneName& zone, InstanceId instance, MonotonicTime now) const
      -> std::optional<double>;

  /// Removes expired reports and outcomes. Should be called about once per second.
  auto RemoveExpired(MonotonicTime now) -> void;

 private:
  struct Report {
    NodeLoad load;
    MonotonicTime received;
  };
  struct OutcomeState {
    int failures = 0;
    int refusals = 0;
    std::optional<MonotonicTime> answered;
    MonotonicTime refusing_until;
    MonotonicTime failing_until;
    MonotonicTime updated;
  };
  using ReportsByNode = absl::flat_hash_map<InstanceId, Report>;

  auto IsFresh(const Report& report, MonotonicTime now) const -> bool;
  auto FindReport(const ZoneName& zone, InstanceId instance, MonotonicTime now) const
      -> const Report*;
  auto AddReports(const ReportsByNode& reports, const ServiceName& service, MonotonicTime now,
                  ZoneLoad& load) const -> void;

  Duration report_lifetime_;
  absl::flat_hash_map<ZoneName, ReportsByNode> reports_;
  absl::flat_hash_map<std::pair<ZoneName, ServiceName>, OutcomeState> outcomes_;
};

}  // namespace heatherspan
