#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace heatherspan {

/// The cap of a region in one version of the document.
struct CapConfig {
  ConfigVersion version;
  RequestsPerSecond cap = RequestsPerSecond(0);
  double base_fraction = 0.5;
  int entry_vms_max = 1;  ///< Sum over the zones of the region.

  /// The base share of one entry VM.
  auto BaseShare() const -> RequestsPerSecond;

  /// The part of the cap that the grantor divides into leased shares.
  auto LeasedPart() const -> RequestsPerSecond;
};

}  // namespace heatherspan
