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

/// The largest encoded manifest that is read: 2,000 chunks of 64 KiB.
inline constexpr std::size_t kMaxManifestBytes = std::size_t{256} * 1024;

/// Describes one version of an environment's document: the value of the manifest keys in the store,
/// and what nodes send each other.
struct Manifest {
  ConfigVersion version;
  std::string write_id;             ///< Recognises a write whose answer was lost.
  std::vector<std::string> chunks;  ///< Hashes, in the order of the canonical form.
  std::string author;
  std::int64_t time_unix_ms = 0;
  std::string reason;
  ConfigVersion previous;

  /// JSON with a SHA-256 over the other fields.
  auto Encode() const -> std::string;

  /// Checks form, hash and limits.
  static auto Decode(std::string_view text) -> absl::StatusOr<Manifest>;

  /// The digest that membership messages carry. Of two manifests of one version, which only a store
  /// restored from an older copy can cause, the one with the greater hash is in force everywhere.
  auto Digest() const -> ConfigDigest;

  friend auto operator==(const Manifest&, const Manifest&) -> bool = default;
};

}  // namespace heatherspan
