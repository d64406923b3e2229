#pragma once

#include <cstdint>

#include "base/strong_number.h"

namespace heatherspan {

using Bytes = StrongNumber<struct BytesTag, std::int64_t>;
using MegabitsPerSecond = StrongNumber<struct MegabitsPerSecondTag, double>;
using RequestsPerSecond = StrongNumber<struct RequestsPerSecondTag, double>;

}  // namespace heatherspan
