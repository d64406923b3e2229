#pragma once

#include <optional>

namespace heatherspan {

/// What a node knows of a service's load in a zone.
struct ZoneLoad {
  /// Used and queued requests per usable slot, by reports that are not too old; may exceed one.
  /// Nothing when there is no such report.
  std::optional<double> utilization;
  /// Reports say that no slot is usable, and no own request was answered lately.
  bool no_usable_target = false;
  /// Every reporting node of the zone has used up its share of the region's cap.
  bool cap_used_up = false;
  /// Own requests were refused a moment ago.
  bool refusing = false;
  /// Own requests failed repeatedly; it is tried last until the pause ends.
  bool failing = false;
};

}  // namespace heatherspan
