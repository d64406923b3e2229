#pragma once

#include "base/ids.h"
#include "messages/config_digest.h"

namespace heatherspan {

/// Records the highest version that this node or any peer has seen, so that a node never applies a
/// lower version and a promotion never reuses a version.
class VersionGate {
 public:
  /// Records a digest from a peer or the store. Returns whether it is higher than all previous
  /// ones.
  auto OnSeen(const ConfigDigest& digest) -> bool;

  /// Whether the version may come into force, which requires that it is higher than the version in
  /// force.
  auto MayApply(const ConfigDigest& digest) const -> bool;
  auto OnApplied(const ConfigDigest& digest) -> void;

  auto highest_seen() const -> const ConfigDigest& { return seen_; }
  auto in_force() const -> const ConfigDigest& { return in_force_; }

 private:
  ConfigDigest seen_;
  ConfigDigest in_force_;
};

/// Compares by version, then by the hash of the manifest.
auto IsHigher(const ConfigDigest& a, const ConfigDigest& b) -> bool;

}  // namespace heatherspan
