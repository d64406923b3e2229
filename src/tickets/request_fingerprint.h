#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "base/ids.h"

namespace heatherspan {

/// SHA-256 over all parts in which two requests with the same ticket can differ.
using RequestFingerprint = std::array<std::uint8_t, 32>;

/// Each part is hashed with its length, so that moving text from one part to the next changes the
/// fingerprint.
auto FingerprintRequest(std::string_view method, const ServiceName& service, std::string_view path,
                        std::string_view body) -> RequestFingerprint;

}  // namespace heatherspan
