#pragma once

#include <string>

#include "base/ids.h"

namespace heatherspan {

/// The highest configuration that a node holds; travels in each membership message.
struct ConfigDigest {
  ConfigVersion version;
  std::string manifest_hash;  ///< Hexadecimal SHA-256 of the manifest.

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(version, manifest_hash);
  }
};

}  // namespace heatherspan
