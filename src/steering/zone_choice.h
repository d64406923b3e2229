#pragma once

#include <cstddef>

#include "base/ids.h"

namespace heatherspan {

/// A zone to which a request may be sent.
struct ZoneChoice {
  ZoneName zone;
  RegionName region;
  std::size_t zone_index = 0;  ///< Index in SteeringView::zones().
  double score = 0;            ///< Lower is better.
  /// The document drains the zone. The zone may be used only while the shift limit keeps the
  /// request from the other choices.
  bool drained = false;
};

}  // namespace heatherspan
