#pragma once

#include <cstddef>
#include <deque>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "caps/cap_config.h"

namespace heatherspan {

/// The terms of a cap in force at one node, and those that other nodes may still apply because the
/// newer version has not reached them, or because a lease granted under it has not lapsed. While
/// both are possible, a node uses the smallest of the shares that they give, so that any mixture of
/// nodes stays within the highest cap in force.
class CapHistory {
 public:
  /// Puts terms into force. Terms of a version that is not newer than the present one are ignored;
  /// a change of version that leaves the shares as they are only changes the version.
  ///
  /// The first terms after the start of a node say nothing of the version before them, which other
  /// nodes may still apply. Unless they are of version 1, or their age (the time since their
  /// version was accepted, by the wall clock) exceeds kSettledAge, they give no share for
  /// kVersionOverlap.
  auto Apply(const CapConfig& config, Duration age, MonotonicTime now) -> void;

  auto empty() const -> bool { return entries_.empty(); }
  auto Version() const -> ConfigVersion { return version_; }

  /// The smallest base share among the terms that may be applied somewhere.
  auto BaseShare(MonotonicTime now) const -> RequestsPerSecond;

  /// The smallest leased part among the terms that may be applied somewhere.
  auto LeasedPart(MonotonicTime now) const -> RequestsPerSecond;

  /// Whether a grant of this version may be used. A grant of an older version is used while the
  /// terms of that version count. A newer one is used for a limited time, in which the newer
  /// version has to arrive at this node.
  auto Accepts(ConfigVersion version, MonotonicTime now) -> bool;

 private:
  struct Entry {
    ConfigVersion first_version;  ///< The first version with these shares.
    double base_share = 0;
    double leased_part = 0;
    MonotonicTime replaced_time;  ///< When newer config came into force; unset in the last entry.
  };

  auto Push(const Entry& entry, MonotonicTime now) -> void;
  auto MayBeInForce(std::size_t index, MonotonicTime now) const -> bool;

  std::deque<Entry> entries_;  ///< In the order of versions; the last is in force.
  ConfigVersion version_;
  ConfigVersion newest_granted_version_;   ///< The highest version seen in a grant.
  MonotonicTime newer_version_seen_time_;  ///< When a version above the own one was first seen.
};

}  // namespace heatherspan
