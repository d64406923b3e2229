#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "base/ids.h"

namespace heatherspan {

/// SHA-256 over everything that distinguishes one request of a ticket from another.
using RequestFingerprint = std::array<std::uint8_t, 32>;

/// Each part is hashed with its length, so that parts can't run into each other.
auto FingerprintRequest(std::string_view method, const ServiceName& service, std::string_view path,
                        std::string_view body) -> RequestFingerprint;

}  // namespace heatherspan
