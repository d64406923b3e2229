#include "caps/cap_terms.h"

#include <algorithm>

namespace heatherspan {

auto CapTerms::BaseShare() const -> RequestsPerSecond {
  return RequestsPerSecond(cap.value() * base_fraction / std::max(entry_vms_max, 1));
}

auto CapTerms::LeasedPart() const -> RequestsPerSecond {
  return RequestsPerSecond(cap.value() * (1 - base_fraction));
}

}  // namespace heatherspan
