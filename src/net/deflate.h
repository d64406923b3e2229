#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heatherspan {

/// Compresses by raw deflate (RFC 1951).
auto Deflate(std::string_view text) -> std::string;

/// Returns the text of exactly the given size, or nothing for other input. The format can't have
/// more than about 1,000 times its own size, so that a wrong size costs little memory.
auto Inflate(std::string_view deflated, std::size_t size) -> std::optional<std::string>;

}  // namespace heatherspan
