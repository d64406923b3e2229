#pragma once

#include <cstdint>

#include "base/strong_number.h"

namespace heatherspan {

/// Identifies a lease of the platform's store.
using StoreLeaseId = StrongNumber<struct StoreLeaseIdTag, std::uint64_t>;

}  // namespace heatherspan
