#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace heatherspan {

/// Chunks by hash, so that only changed chunks are transferred. Each chunk is verified when it is
/// added.
class ChunkCache {
 public:
  /// Rejects `bytes` that exceed kMaxChunkBytes or don't have the given hash.
  auto Add(const std::string& hash, std::string bytes) -> absl::Status;

  /// Null if the cache doesn't contain the chunk.
  auto Find(const std::string& hash) const -> std::shared_ptr<const std::string>;
  auto Missing(const std::vector<std::string>& hashes) const -> std::vector<std::string>;
  auto KeepOnly(const std::set<std::string>& hashes) -> void;
  auto size() const -> std::size_t { return chunks_.size(); }

 private:
  std::map<std::string, std::shared_ptr<const std::string>> chunks_;
};

}  // namespace heatherspan
