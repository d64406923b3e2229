#include "config/version_gate.h"

#include <tuple>

namespace heatherspan {

auto IsHigher(const ConfigDigest& a, const ConfigDigest& b) -> bool {
  return std::tie(a.version, a.manifest_hash) > std::tie(b.version, b.manifest_hash);
}

auto VersionGate::OnSeen(const ConfigDigest& digest) -> bool {
  if (!IsHigher(digest, seen_)) return false;
  seen_ = digest;
  return true;
}

auto VersionGate::MayApply(const ConfigDigest& digest) const -> bool {
  return IsHigher(digest, in_force_);
}

auto VersionGate::OnApplied(const ConfigDigest& digest) -> void {
  if (!MayApply(digest)) return;
  in_force_ = digest;
  OnSeen(digest);
}

}  // namespace heatherspan
