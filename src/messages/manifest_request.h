#pragma once

#include <cstdint>

namespace heatherspan {

/// Asks a peer for its highest manifest.
struct ManifestRequest {
  std::uint64_t reserved = 0;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(reserved);
  }
};

}  // namespace heatherspan
