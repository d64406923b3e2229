#pragma once

#include <optional>

namespace heatherspan {

/// The state that an entry VM assumes for a service in a zone.
struct ZoneLoad {
  /// Used and queued requests per usable slot, according to the reports that have not expired; may
  /// exceed one. Empty without such a report.
  std::optional<double> utilization;
  /// Reports show no usable slot, and no request of this node was answered recently.
  bool no_usable_target = false;
  /// Every reporting node of the zone has used up its share of the region's cap.
  bool cap_used_up = false;
  /// The zone recently refused requests of this node.
  bool refusing = false;
  /// Requests of this node failed repeatedly. The zone ranks last until the backoff ends.
  bool failing = false;
};

}  // namespace heatherspan
