#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "document/chunk.h"

namespace heatherspan {

inline constexpr std::size_t kMaxChunkBytes = std::size_t{64} * 1024;

/// Splits a text into chunks; their concatenation is the text. Boundaries depend on the content of
/// lines, so that a change of one line changes only the chunks near this line.
auto SplitChunks(std::string_view canonical) -> std::vector<Chunk>;

}  // namespace heatherspan
