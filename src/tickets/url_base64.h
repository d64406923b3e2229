#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace heatherspan {

/// Encodes bytes in the URL-safe base64 alphabet without padding.
auto EncodeUrlBase64(std::string_view bytes) -> std::string;

/// The inverse of EncodeUrlBase64. Rejects texts that EncodeUrlBase64 cannot produce.
auto DecodeUrlBase64(std::string_view text) -> std::optional<std::string>;

}  // namespace heatherspan
