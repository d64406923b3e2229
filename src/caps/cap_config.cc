#include "caps/cap_config.h"

#include <algorithm>

namespace heatherspan {

auto CapConfig::BaseShare() const -> RequestsPerSecond {
  return RequestsPerSecond(cap.value() * base_fraction / std::max(entry_vms_max, 1));
}

auto CapConfig::LeasedPart() const -> RequestsPerSecond {
  return RequestsPerSecond(cap.value() * (1 - base_fraction));
}

}  // namespace heatherspan
