#pragma once

#include <string>

#include "base/ids.h"

namespace heatherspan {

/// The keys of an environment's configuration in the platform's store.
class ConfigKeys {
 public:
  explicit ConfigKeys(const EnvironmentName& environment);

  auto Trial() const -> std::string;
  auto Production() const -> std::string;
  auto Chunk(const std::string& hash) const -> std::string;
  /// The version is padded with zeros, so that the order of keys is the order of versions.
  auto History(ConfigVersion version) const -> std::string;

 private:
  std::string prefix_;
};

}  // namespace heatherspan
