#pragma once

#include <string>
#include <string_view>

namespace heatherspan {

/// Returns the SHA-256 hash in lowercase hexadecimal digits.
auto Sha256Hex(std::string_view bytes) -> std::string;

}  // namespace heatherspan
