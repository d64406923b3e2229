#pragma once

#include <string>
#include <vector>

namespace heatherspan {

/// Asks a peer for chunks by hash.
struct ChunkRequest {
  std::vector<std::string> hashes;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(hashes);
  }
};

}  // namespace heatherspan
