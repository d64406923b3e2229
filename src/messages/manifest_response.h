#pragma once

#include <string>

namespace heatherspan {

/// The encoded manifest; empty if the peer has none.
struct ManifestResponse {
  std::string manifest;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(manifest);
  }
};

}  // namespace heatherspan
