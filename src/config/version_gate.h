#pragma once

#include "base/ids.h"
#include "messages/config_digest.h"

namespace heatherspan {

/// Keeps the highest version that this node or any peer has seen, so that a node never goes back
/// to a lower one and a promote never reuses a version.
class VersionGate {
 public:
  /// Notes what a peer or the store has. Returns whether it is higher than all before.
  auto OnSeen(const ConfigDigest& digest) -> bool;

  /// Whether a version may come into force after the present one.
  auto MayApply(const ConfigDigest& digest) const -> bool;
  auto OnApplied(const ConfigDigest& digest) -> void;

  auto highest_seen() const -> const ConfigDigest& { return seen_; }
  auto in_force() const -> const ConfigDigest& { return in_force_; }

 private:
  ConfigDigest seen_;
  ConfigDigest in_force_;
};

/// Orders by version, then by the hash of the manifest.
auto IsHigher(const ConfigDigest& a, const ConfigDigest& b) -> bool;

}  // namespace heatherspan
