#pragma once

#include <string>
#include <vector>

namespace heatherspan {

/// The chunks that the peer holds, in the order of the request; missing ones are empty.
struct ChunkResponse {
  std::vector<std::string> chunks;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(chunks);
  }
};

}  // namespace heatherspan
