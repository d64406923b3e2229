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

/// A peer from which a configuration can be pulled.
struct ConfigSource {
  InstanceId instance;
  Endpoint peer_endpoint;

  friend auto operator==(const ConfigSource&, const ConfigSource&) -> bool = default;
};

/// A call to make over TCP. The caller reports the result with OnManifestResponse, OnChunkResponse
/// or OnPullFailed.
struct ConfigPull {
  ConfigSource source;
  PeerRequest request;
};

/// Replicates the highest known configuration to this node: from the store if this node is a
/// reader, otherwise from peers whose digests name the configuration. One pull runs at a time. A
/// configuration comes into force only when all its chunks are present and verified.
///
/// Not thread-safe.
class ConfigReplicator {
 public:
  /// The maximum number of chunks in one request, so that a response stays below 1 MiB.
  static constexpr std::size_t kMaxChunksPerPull = 14;
  static constexpr Duration kPullTimeout = std::chrono::seconds(2);

  /// Called when a membership message of a peer carried the digest.
  auto OnDigest(const ConfigSource& source, const ConfigDigest& digest) -> void;

  /// Called when this node read a manifest from the store. Its chunks are added with OnStoreChunk
  /// or pulled from peers.
  auto OnStoreManifest(const Manifest& manifest) -> void;
  auto OnStoreChunk(const std::string& hash, std::string bytes) -> absl::Status;

  /// Returns the next call to make, if one is due. A call whose result is not reported within
  /// kPullTimeout counts as failed.
  auto NextPull(MonotonicTime now, Random& random) -> std::optional<ConfigPull>;
  auto OnManifestResponse(const ManifestResponse& response) -> absl::Status;
  auto OnChunkResponse(const ChunkResponse& response) -> absl::Status;
  auto OnPullFailed() -> void;

  /// Returns the responses to requests of peers.
  auto Answer(const ManifestRequest& request) const -> ManifestResponse;
  auto Answer(const ChunkRequest& request) const -> ChunkResponse;

  /// Returns the canonical form of a configuration once after it has become complete; empty
  /// otherwise. The caller puts the configuration into force. Its version is never lower than that
  /// of an earlier one.
  auto TakeCompletedDocument() -> std::optional<std::string>;

  /// The hashes of the chunks of the highest known manifest that this node lacks. A reader reads
  /// these chunks from the store.
  auto MissingChunks() const -> std::vector<std::string>;

  /// The digest of the configuration in force, which this node sends to peers.
  auto Digest() const -> const ConfigDigest& { return gate_.in_force(); }
  auto in_force() const -> const std::optional<Manifest>& { return in_force_; }
  auto gate() const -> const VersionGate& { return gate_; }
  auto cache() const -> const ChunkCache& { return cache_; }

 private:
  struct Pull {
    ConfigSource source;
    std::vector<std::string> hashes;  ///< Empty if the pull requests a manifest.
    MonotonicTime started;
  };

  auto SetNextIfHigher(const Manifest& manifest) -> void;
  auto ApplyIfComplete() -> void;

  VersionGate gate_;
  ChunkCache cache_;
  std::optional<Manifest> in_force_;
  std::optional<Manifest> next_;       ///< Higher than in_force_; chunks may be missing.
  std::vector<ConfigSource> sources_;  ///< Peers in which the highest seen version is in force.
  std::optional<Pull> pull_;
  std::optional<std::string> completed_document_;
};

}  // namespace heatherspan
