#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "messages/config_digest.h"

namespace heatherspan {

/// The maximum size of an encoded manifest, enough for 2,000 chunks of 64 KiB.
inline constexpr std::size_t kMaxManifestBytes = std::size_t{256} * 1024;

/// Describes one version of an environment's document. Manifests are stored under the manifest keys
/// in the store and sent between nodes.
struct Manifest {
  ConfigVersion version;
  std::string write_id;             ///< Identifies a write whose response was lost.
  std::vector<std::string> chunks;  ///< Hashes, in the order of the canonical form.
  std::string author;
  std::int64_t time_unix_ms = 0;
  std::string reason;
  ConfigVersion previous;

  /// Returns JSON with a SHA-256 hash of all other fields.
  auto Encode() const -> std::string;

  /// Checks syntax, hash and limits.
  static auto Decode(std::string_view text) -> absl::StatusOr<Manifest>;

  /// The digest that membership messages carry. Two manifests can have the same version only after
  /// the store was restored from an older copy. All nodes then apply the one with the greater hash.
  auto Digest() const -> ConfigDigest;

  friend auto operator==(const Manifest&, const Manifest&) -> bool = default;
};

}  // namespace heatherspan
