#include "config/chunk_cache.h"

#include <utility>

#include "document/chunk_splitter.h"
#include "document/sha256.h"
#include "fmt/format.h"

namespace heatherspan {

auto ChunkCache::Add(const std::string& hash, std::string bytes) -> absl::Status {
  if (bytes.size() > kMaxChunkBytes) {
    return absl::DataLossError(fmt::format("chunk {} has {} bytes; the maximum is {}", hash,
                                           bytes.size(), kMaxChunkBytes));
  }
  const auto found = Sha256Hex(bytes);
  if (found != hash) {
    return absl::DataLossError(fmt::format("chunk {}: the content has the hash {}", hash, found));
  }
  chunks_.try_emplace(hash, std::make_shared<const std::string>(std::move(bytes)));
  return absl::OkStatus();
}

auto ChunkCache::Find(const std::string& hash) const -> std::shared_ptr<const std::string> {
  const auto found = chunks_.find(hash);
  return found == chunks_.end() ? nullptr : found->second;
}

auto ChunkCache::Missing(const std::vector<std::string>& hashes) const -> std::vector<std::string> {
  std::vector<std::string> missing;
  std::set<std::string> named;
  for (const auto& hash : hashes) {
    if (!chunks_.contains(hash) && named.insert(hash).second) missing.push_back(hash);
  }
  return missing;
}

auto ChunkCache::KeepOnly(const std::set<std::string>& hashes) -> void {
  std::erase_if(chunks_, [&hashes](const auto& entry) { return !hashes.contains(entry.first); });
}

}  // namespace heatherspan
