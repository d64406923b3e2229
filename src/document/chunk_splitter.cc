#include "document/chunk_splitter.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "base/stable_hash.h"
#include "document/sha256.h"

namespace heatherspan {
namespace {

// One line in 512 on average ends a chunk. At about 30 bytes a line, a chunk has 15 KiB on average.
// One run of lines in 70 exceeds 64 KiB and is split by length. There is no minimum length, so that
// such a line is a boundary regardless of the lines before it: a change of one line moves no
// boundary after the next such line.
constexpr std::uint64_t kLinesPerChunk = 512;

auto EndsChunk(std::string_view line) -> bool { return StableHash(line) % kLinesPerChunk == 0; }

}  // namespace

auto SplitChunks(std::string_view canonical) -> std::vector<Chunk> {
  std::vector<Chunk> chunks;
  const auto emit = [&chunks](std::string_view bytes) {
    if (!bytes.empty()) chunks.push_back({Sha256Hex(bytes), std::string(bytes)});
  };
  std::size_t start = 0;
  std::size_t at = 0;
  while (at < canonical.size()) {
    const auto end = std::min(canonical.find('\n', at), canonical.size() - 1) + 1;
    const auto line = canonical.substr(at, end - at);
    if (end - start > kMaxChunkBytes) {
      emit(canonical.substr(start, at - start));
      start = at;
    }
    while (end - start > kMaxChunkBytes) {
      emit(canonical.substr(start, kMaxChunkBytes));
      start += kMaxChunkBytes;
    }
    at = end;
    if (EndsChunk(line)) {
      emit(canonical.substr(start, at - start));
      start = at;
    }
  }
  emit(canonical.substr(start));
  return chunks;
}

}  // namespace heatherspan
