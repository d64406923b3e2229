#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "config/chunk_cache.h"
#include "config/manifest.h"
#include "config/version_gate.h"
#include "messages/chunk_request.h"
#include "messages/chunk_response.h"
#include "messages/config_digest.h"
#include "messages/manifest_request.h"
#include "messages/manifest_response.h"
#include "messages/peer_request.h"

namespace heatherspan {

/// A peer to ask for a configuration.
struct ConfigSource {
  InstanceId instance;
  Endpoint peer_endpoint;

  friend auto operator==(const ConfigSource&, const ConfigSource&) -> bool = default;
};

/// A call to make over TCP; its end is reported to ConfigReplicator by one of the On methods.
struct ConfigPull {
  ConfigSource source;
  PeerRequest request;
};

/// Brings the highest known configuration to this node: from the store if this node is a reader,
/// otherwise from the peers whose digests name it. One pull runs at a time. A configuration comes
/// into force only when each of its chunks is held and verified.
///
/// Not thread-safe.
class ConfigReplicator {
 public:
  /// Chunks in one request, so that a response stays below 1 MiB.
  static constexpr std::size_t kMaxChunksPerPull = 14;
  static constexpr Duration kPullTimeout = std::chrono::seconds(2);

  /// A membership message of a peer carried the digest.
  auto OnDigest(const ConfigSource& source, const ConfigDigest& digest) -> void;

  /// A manifest that this node read from the store. Its chunks are added with OnStoreChunk, or
  /// pulled from peers.
  auto OnStoreManifest(const Manifest& manifest) -> void;
  auto OnStoreChunk(const std::string& hash, std::string bytes) -> absl::Status;

  /// The next call to make, if one is due. A call that was not reported within kPullTimeout counts
  /// as failed.
  auto NextPull(MonotonicTime now, Random& random) -> std::optional<ConfigPull>;
  auto OnManifestResponse(const ManifestResponse& response) -> absl::Status;
  auto OnChunkResponse(const ChunkResponse& response) -> absl::Status;
  auto OnPullFailed() -> void;

  /// Answers to peers.
  auto Answer(const ManifestRequest& request) const -> ManifestResponse;
  auto Answer(const ChunkRequest& request) const -> ChunkResponse;

  /// The canonical form of a configuration that has just become whole, once; empty otherwise. The
  /// caller puts it into force; it is never lower than one before.
  auto TakeCompletedDocument() -> std::optional<std::string>;

  /// The chunks that are missing to the highest known manifest, for a reader to read.
  auto MissingChunks() const -> std::vector<std::string>;

  /// The digest to send: that of the configuration in force.
  auto Digest() const -> const ConfigDigest& { return gate_.in_force(); }
  auto in_force() const -> const std::optional<Manifest>& { return in_force_; }
  auto gate() const -> const VersionGate& { return gate_; }
  auto cache() const -> const ChunkCache& { return cache_; }

 private:
  struct Pull {
    ConfigSource source;
    std::vector<std::string> hashes;  ///< Empty for a manifest.
    MonotonicTime started;
  };

  auto SetNextIfHigher(const Manifest& manifest) -> void;
  auto ApplyIfComplete() -> void;

  VersionGate gate_;
  ChunkCache cache_;
  std::optional<Manifest> in_force_;
  std::optional<Manifest> next_;       ///< Higher than the one in force; chunks may be missing.
  std::vector<ConfigSource> sources_;  ///< Peers that have the highest seen version in force.
  std::optional<Pull> pull_;
  std::optional<std::string> completed_document_;
};

}  // namespace heatherspan
