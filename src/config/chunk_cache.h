#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace heatherspan {

/// Chunks by hash, so that only changed chunks travel. Each is verified when it is added.
class ChunkCache {
 public:
  /// Refuses bytes that are too long or don't have the hash.
  auto Add(const std::string& hash, std::string bytes) -> absl::Status;

  /// Null if the chunk is not held.
  auto Find(const std::string& hash) const -> std::shared_ptr<const std::string>;
  auto Missing(const std::vector<std::string>& hashes) const -> std::vector<std::string>;
  auto KeepOnly(const std::set<std::string>& hashes) -> void;
  auto size() const -> std::size_t { return chunks_.size(); }

 private:
  std::map<std::string, std::shared_ptr<const std::string>> chunks_;
};

}  // namespace heatherspan
