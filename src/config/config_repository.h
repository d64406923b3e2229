#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/time.h"
#include "config/config_keys.h"
#include "config/config_write.h"
#include "config/manifest.h"
#include "config/store.h"
#include "config/version_gate.h"
#include "document/chunk.h"
#include "document/chunk_splitter.h"
#include "document/sha256.h"
#include "fmt/format.h"

namespace heatherspan {

/// The configurations of an environment in the store. Calls block like the store's calls.
///
/// The trial has a version sequence of its own. A promotion copies the trial's list of chunks into
/// the production manifest. Chunks are written before the manifest that names them, and manifests
/// are written by compare-and-swap, so that a reader never sees a manifest with a missing chunk.
/// Chunks that no manifest names any longer are not removed.
///
/// Errors: FAILED_PRECONDITION for a conflict (the message names the other write), UNAVAILABLE if
/// nothing was written, UNKNOWN if the write may have taken effect (the caller repeats it with the
/// same write id), DATA_LOSS for values whose content doesn't have the expected hash.
template <Store S>
class ConfigRepository {
 public:
  ConfigRepository(S& store, const EnvironmentName& environment)
      : store_(store), keys_(environment) {}

  /// Writes a document as the trial. The base version is the version of the current trial, or 0 if
  /// there is none.
  auto PutTrial(std::string_view canonical, const ConfigWrite& write) -> absl::StatusOr<Manifest> {
    std::vector<std::string> hashes;
    for (const auto& chunk : SplitChunks(canonical)) {
      if (auto status = WriteChunk(chunk.hash, chunk.bytes); !status.ok()) return status;
      hashes.push_back(chunk.hash);
    }
    return CompareAndSwap(keys_.Trial(), std::move(hashes), write, ConfigVersion(0));
  }

  /// Promotes the trial to production. `trial` is the version of the trial that the operator has
  /// checked. The base version is the version of the current production manifest, or 0 if there is
  /// none. The new version is higher than the version in the store and than `highest_seen`, the
  /// highest version that any node has seen.
  auto Promote(ConfigVersion trial, const ConfigWrite& write, ConfigVersion highest_seen)
      -> absl::StatusOr<Manifest> {
    const auto stored = ReadManifest(keys_.Trial());
    if (!stored.ok()) return stored.status();
    if (!stored->has_value()) return absl::NotFoundError("the store has no trial document");
    const auto& manifest = (*stored)->manifest;
    if (manifest.version != trial) return Conflict("trial", trial, manifest);
    auto promoted = CompareAndSwap(keys_.Production(), manifest.chunks, write, highest_seen);
    if (promoted.ok()) WriteHistory(*promoted);
    return promoted;
  }

  auto ReadTrial() -> absl::StatusOr<std::optional<Manifest>> { return Read(keys_.Trial()); }
  auto ReadProduction() -> absl::StatusOr<std::optional<Manifest>> {
    return Read(keys_.Production());
  }

  /// Waits for at most `wait` until the revision of the production manifest differs from
  /// `revision`. Returns the manifest and sets `revision` to its revision. Returns an empty value
  /// if the wait ends without a change or the store has no production manifest.
  auto WaitProduction(std::uint64_t& revision, Duration wait)
      -> absl::StatusOr<std::optional<Manifest>> {
    auto value = store_.Wait(keys_.Production(), revision, wait);
    if (!value.ok()) return value.status();
    if (!value->has_value()) return std::optional<Manifest>();
    auto manifest = Manifest::Decode((*value)->value);
    if (!manifest.ok()) return manifest.status();
    revision = (*value)->revision;
    return std::optional<Manifest>(*std::move(manifest));
  }

  /// Reads one chunk and verifies its hash.
  auto ReadChunk(const std::string& hash) -> absl::StatusOr<std::string> {
    auto value = store_.Read(keys_.Chunk(hash));
    if (!value.ok()) return value.status();
    if (!value->has_value())
      return absl::NotFoundError(fmt::format("the store has no chunk {}", hash));
    if (Sha256Hex((*value)->value) != hash) {
      return absl::DataLossError(
          fmt::format("chunk {}: the stored content has another hash", hash));
    }
    return std::move((*value)->value);
  }

  /// Reads the complete canonical form and verifies the hashes of its chunks.
  auto ReadDocument(const Manifest& manifest) -> absl::StatusOr<std::string> {
    std::string canonical;
    for (const auto& hash : manifest.chunks) {
      auto chunk = ReadChunk(hash);
      if (!chunk.ok()) return chunk.status();
      canonical += *chunk;
    }
    return canonical;
  }

  /// The production manifests of the last versions, the latest first. Versions that were skipped
  /// are not listed. The list ends at a version whose history entry could not be written.
  auto History(std::size_t most) -> absl::StatusOr<std::vector<Manifest>> {
    std::vector<Manifest> history;
    auto next = ReadProduction();
    if (!next.ok()) return next.status();
    while (next->has_value() && history.size() < most) {
      const auto previous = (*next)->previous;
      history.push_back(**std::move(next));
      if (previous == ConfigVersion(0) || previous >= history.back().version) break;
      next = Read(keys_.History(previous));
      if (!next.ok()) return next.status();
    }
    return history;
  }

  /// Writes the manifest that a node has in force back to the store if the stored manifest is lower
  /// or missing, because the store was restored from an older copy. Returns whether the manifest
  /// was written. `chunks` returns the content for a hash.
  template <class Chunks>
  auto WriteBack(const Manifest& in_force, Chunks&& chunks) -> absl::StatusOr<bool> {
    const auto stored = ReadManifest(keys_.Production());
    if (!stored.ok()) return stored.status();
    const bool lower =
        !stored->has_value() || IsHigher(in_force.Digest(), (*stored)->manifest.Digest());
    if (!lower) return false;
    for (const auto& hash : in_force.chunks) {
      if (auto status = WriteChunk(hash, chunks(hash)); !status.ok()) return status;
    }
    const auto revision = stored->has_value() ? (*stored)->revision : 0;
    const auto result = store_.Write(keys_.Production(), in_force.Encode(), revision, std::nullopt);
    if (result.effect == WriteEffect::kConflict) return false;
    if (result.effect != WriteEffect::kTookEffect) return WriteError(result, "write-back");
    WriteHistory(in_force);
    return true;
  }

 private:
  struct StoredManifest {
    Manifest manifest;
    std::uint64_t revision = 0;
  };

  auto ReadManifest(const std::string& key) -> absl::StatusOr<std::optional<StoredManifest>> {
    auto value = store_.Read(key);
    if (!value.ok()) return value.status();
    if (!value->has_value()) return std::optional<StoredManifest>();
    auto manifest = Manifest::Decode((*value)->value);
    if (!manifest.ok()) return manifest.status();
    return std::optional<StoredManifest>(StoredManifest{*std::move(manifest), (*value)->revision});
  }

  auto Read(const std::string& key) -> absl::StatusOr<std::optional<Manifest>> {
    auto stored = ReadManifest(key);
    if (!stored.ok()) return stored.status();
    if (!stored->has_value()) return std::optional<Manifest>();
    return std::optional<Manifest>(std::move((*stored)->manifest));
  }

  auto WriteChunk(const std::string& hash, const std::string& bytes) -> absl::Status {
    const auto result = store_.Write(keys_.Chunk(hash), bytes, 0, std::nullopt);
    if (result.effect == WriteEffect::kTookEffect) return absl::OkStatus();
    if (result.effect == WriteEffect::kNoEffect) return WriteError(result, "chunk");
    // The key exists or may exist. The content of a chunk is determined by its key.
    return ReadChunk(hash).status();
  }

  /// Writes the next manifest under a key by compare-and-swap.
  auto CompareAndSwap(const std::string& key, std::vector<std::string> hashes,
                      const ConfigWrite& write, ConfigVersion highest_seen)
      -> absl::StatusOr<Manifest> {
    const auto stored = ReadManifest(key);
    if (!stored.ok()) return stored.status();
    const StoredManifest current = stored->value_or(StoredManifest{});
    if (IsOwnWrite(*stored, write)) return current.manifest;
    if (current.manifest.version != write.base_version) {
      return ResolveConflict(key, write, current.manifest);
    }
    // The current manifest is written to the history before it is replaced, so that its writer
    // finds it there if the response to its write was lost.
    if (key == keys_.Production() && stored->has_value()) WriteHistory(current.manifest);
    Manifest next;
    next.version = std::max(current.manifest.version, highest_seen) + ConfigVersion(1);
    next.write_id = write.write_id;
    next.chunks = std::move(hashes);
    next.author = write.author;
    next.time_unix_ms = write.time_unix_ms;
    next.reason = write.reason;
    next.previous = current.manifest.version;
    const auto result = store_.Write(key, next.Encode(), current.revision, std::nullopt);
    if (result.effect == WriteEffect::kTookEffect) return next;
    if (result.effect == WriteEffect::kNoEffect) return WriteError(result, key);
    return ResolveFailedWrite(key, write, result);
  }

  /// Determines the result of a write after a conflict or a lost response. The write id of the
  /// stored manifest tells which write took effect.
  auto ResolveFailedWrite(const std::string& key, const ConfigWrite& write,
                          const StoreWriteResult& result) -> absl::StatusOr<Manifest> {
    const auto stored = ReadManifest(key);
    if (stored.ok() && IsOwnWrite(*stored, write)) return (*stored)->manifest;
    if (result.effect == WriteEffect::kConflict) {
      if (!stored.ok()) return stored.status();
      return Conflict(key, write.base_version, stored->value_or(StoredManifest{}).manifest);
    }
    const bool other =
        stored.ok() && stored->has_value() && (*stored)->manifest.version != write.base_version;
    // The store now contains another write. The own write may have taken effect before it.
    if (other) return ResolveConflict(key, write, (*stored)->manifest);
    return absl::UnknownError(
        fmt::format("{}: the response to write {} was lost; the write may have taken effect or may "
                    "still take effect; repeat it with the same write id",
                    key, write.write_id));
  }

  /// Returns the manifest of the own write if the history shows that the current manifest replaced
  /// it. Otherwise returns the conflict.
  auto ResolveConflict(const std::string& key, const ConfigWrite& write, const Manifest& current)
      -> absl::StatusOr<Manifest> {
    if (key == keys_.Production() && current.previous != write.base_version) {
      const auto own = Read(keys_.History(current.previous));
      if (own.ok() && own->has_value() && (*own)->write_id == write.write_id) return **own;
    }
    return Conflict(key, write.base_version, current);
  }

  static auto IsOwnWrite(const std::optional<StoredManifest>& stored, const ConfigWrite& write)
      -> bool {
    return stored.has_value() && stored->manifest.write_id == write.write_id;
  }

  static auto Conflict(const std::string& what, ConfigVersion expected, const Manifest& other)
      -> absl::Status {
    return absl::FailedPreconditionError(fmt::format(
        "{}: expected version {}, found version {} by {} ({}), write {}", what, expected.value(),
        other.version.value(), other.author, other.reason, other.write_id));
  }

  static auto WriteError(const StoreWriteResult& result, const std::string& what) -> absl::Status {
    const std::string reason(result.status.message());
    if (result.effect == WriteEffect::kNoEffect) {
      return absl::UnavailableError(fmt::format("{}: nothing was written: {}", what, reason));
    }
    return absl::UnknownError(fmt::format("{}: the write may have taken effect: {}", what, reason));
  }

  /// The history is written on a best-effort basis. It informs operators; only ResolveConflict
  /// depends on it.
  auto WriteHistory(const Manifest& manifest) -> void {
    store_.Write(keys_.History(manifest.version), manifest.Encode(), 0, std::nullopt);
  }

  S& store_;
  ConfigKeys keys_;
};

}  // namespace heatherspan
