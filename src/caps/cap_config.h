#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace heatherspan {

/// What one version of the document says of the cap of a region.
struct CapConfig {
  ConfigVersion version;
  RequestsPerSecond cap = RequestsPerSecond(0);
  double base_fraction = 0.5;
  int entry_vms_max = 1;  ///< Summed over the zones of the region.

  /// The base share of one entry VM.
  auto BaseShare() const -> RequestsPerSecond;

  /// The part of the cap that the grantor divides.
  auto LeasedPart() const -> RequestsPerSecond;
};

}  // namespace heatherspan
