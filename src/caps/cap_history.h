#pragma once

#include <cstddef>
#include <deque>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "caps/cap_config.h"

namespace heatherspan {

/// The cap configuration in force at one node, and the earlier ones that other nodes may still
/// apply. Another node may apply an earlier one because the newer version has not reached it or
/// because a lease granted under the earlier version has not expired. During this overlap, a node
/// uses the smallest of the shares of these configurations. The sum over all nodes then stays
/// within the highest cap in force, whichever version each node applies.
class CapHistory {
 public:
  /// Puts a configuration into force. A configuration whose version is not newer than the current
  /// one is ignored. If a newer version has the same shares, only the version number changes.
  ///
  /// A node that has just started does not know the version before its first one, which other nodes
  /// may still apply. The first configuration therefore gives no share for kVersionOverlap, unless
  /// its version is 1 or its age is at least kSettledAge. The age is the time since the version was
  /// accepted, by the wall clock.
  auto Apply(const CapConfig& config, Duration age, MonotonicTime now) -> void;

  auto empty() const -> bool { return entries_.empty(); }
  auto Version() const -> ConfigVersion { return version_; }

  /// The smallest base share among the configurations that any node may still apply.
  auto BaseShare(MonotonicTime now) const -> RequestsPerSecond;

  /// The smallest leased part among the configurations that any node may still apply.
  auto LeasedPart(MonotonicTime now) const -> RequestsPerSecond;

  /// Whether a grant of this version may be used. A grant of an older version may be used while
  /// other nodes may still apply that version. A grant of a newer version may be used for
  /// kVersionOverlap after the first one; the newer version has to reach this node within that
  /// time.
  auto Accepts(ConfigVersion version, MonotonicTime now) -> bool;

 private:
  struct Entry {
    ConfigVersion first_version;  ///< The first version with these shares.
    double base_share = 0;
    double leased_part = 0;
    MonotonicTime replaced_time;  ///< Unset in the last entry.
  };

  auto Push(const Entry& entry, MonotonicTime now) -> void;
  auto MayBeInForce(std::size_t index, MonotonicTime now) const -> bool;

  std::deque<Entry> entries_;  ///< Ordered by version; the last one is in force.
  ConfigVersion version_;
  ConfigVersion newest_granted_version_;   ///< The highest version of any grant so far.
  MonotonicTime newer_version_seen_time_;  ///< Time of the first grant above version_.
};

}  // namespace heatherspan
