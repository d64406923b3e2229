#include "config/config_replicator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace heatherspan {
namespace {

// Further peers with the same version bring no benefit.
constexpr std::size_t kMaxSources = 8;

}  // namespace

auto ConfigReplicator::OnDigest(const ConfigSource& source, const ConfigDigest& digest) -> void {
  if (!gate_.MayApply(digest)) return;
  if (gate_.OnSeen(digest)) sources_.clear();
  const bool highest = !IsHigher(gate_.highest_seen(), digest);
  const bool known = std::find(sources_.begin(), sources_.end(), source) != sources_.end();
  if (highest && !known && sources_.size() < kMaxSources) sources_.push_back(source);
}

auto ConfigReplicator::OnStoreManifest(const Manifest& manifest) -> void {
  SetNextIfHigher(manifest);
}

auto ConfigReplicator::OnStoreChunk(const std::string& hash, std::string bytes) -> absl::Status {
  auto status = cache_.Add(hash, std::move(bytes));
  ApplyIfComplete();
  return status;
}

auto ConfigReplicator::SetNextIfHigher(const Manifest& manifest) -> void {
  const auto digest = manifest.Digest();
  if (!gate_.MayApply(digest)) return;
  if (next_.has_value() && !IsHigher(digest, next_->Digest())) return;
  if (gate_.OnSeen(digest)) sources_.clear();
  next_ = manifest;
  ApplyIfComplete();
}

auto ConfigReplicator::ApplyIfComplete() -> void {
  if (!next_.has_value() || !MissingChunks().empty()) return;
  std::string canonical;
  for (const auto& hash : next_->chunks) canonical += *cache_.Find(hash);
  gate_.OnApplied(next_->Digest());
  in_force_ = std::exchange(next_, std::nullopt);
  cache_.KeepOnly({in_force_->chunks.begin(), in_force_->chunks.end()});
  completed_document_ = std::move(canonical);
}

auto ConfigReplicator::MissingChunks() const -> std::vector<std::string> {
  return next_.has_value() ? cache_.Missing(next_->chunks) : std::vector<std::string>();
}

auto ConfigReplicator::NextPull(MonotonicTime now, Random& random) -> std::optional<ConfigPull> {
  if (pull_.has_value() && now - pull_->started < kPullTimeout) return std::nullopt;
  if (pull_.has_value()) OnPullFailed();
  if (sources_.empty() || !gate_.MayApply(gate_.highest_seen())) return std::nullopt;
  const auto source = sources_[random() % sources_.size()];
  const bool known = next_.has_value() && !IsHigher(gate_.highest_seen(), next_->Digest());
  if (!known) {
    pull_ = Pull{source, {}, now};
    return ConfigPull{source, ManifestRequest{}};
  }
  auto missing = MissingChunks();
  if (missing.size() > kMaxChunksPerPull) missing.resize(kMaxChunksPerPull);
  pull_ = Pull{source, missing, now};
  return ConfigPull{source, ChunkRequest{std::move(missing)}};
}

auto ConfigReplicator::OnManifestResponse(const ManifestResponse& response) -> absl::Status {
  auto manifest = Manifest::Decode(response.manifest);
  if (!manifest.ok()) {
    OnPullFailed();
    return manifest.status();
  }
  pull_.reset();
  SetNextIfHigher(*manifest);
  return absl::OkStatus();
}

auto ConfigReplicator::OnChunkResponse(const ChunkResponse& response) -> absl::Status {
  // A response that arrives after its timeout can't be matched with its request.
  if (!pull_.has_value()) return absl::OkStatus();
  const auto hashes = pull_->hashes;
  std::size_t added = 0;
  auto result = absl::OkStatus();
  for (std::size_t i = 0; i < std::min(hashes.size(), response.chunks.size()); ++i) {
    if (response.chunks[i].empty()) continue;
    const auto status = cache_.Add(hashes[i], response.chunks[i]);
    if (status.ok()) ++added;
    if (!status.ok()) result = status;
  }
  if (added == 0) {
    OnPullFailed();
  } else {
    pull_.reset();
  }
  ApplyIfComplete();
  return result;
}

auto ConfigReplicator::OnPullFailed() -> void {
  if (!pull_.has_value()) return;
  // The peer becomes a source again with its next digest.
  std::erase(sources_, pull_->source);
  pull_.reset();
}

auto ConfigReplicator::Answer(const ManifestRequest& /*request*/) const -> ManifestResponse {
  return ManifestResponse{in_force_.has_value() ? in_force_->Encode() : ""};
}

auto ConfigReplicator::Answer(const ChunkRequest& request) const -> ChunkResponse {
  ChunkResponse response;
  for (std::size_t i = 0; i < std::min(request.hashes.size(), kMaxChunksPerPull); ++i) {
    const auto chunk = cache_.Find(request.hashes[i]);
    response.chunks.push_back(chunk == nullptr ? "" : *chunk);
  }
  return response;
}

auto ConfigReplicator::TakeCompletedDocument() -> std::optional<std::string> {
  return std::exchange(completed_document_, std::nullopt);
}

}  // namespace heatherspan
