#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// An entry VM as it has announced itself.
struct EntryVm {
  NodeName name;
  ZoneName zone;
  RegionName region;
  Endpoint caller_endpoint;  ///< Where it takes requests.

  friend auto operator==(const EntryVm&, const EntryVm&) -> bool = default;
};

/// Which entry VMs callers are to use.
struct EntryVmSelection {
  std::vector<Endpoint> endpoints;
  Duration lifetime{};
};

/// The entry VMs that take requests. An announcement ends when its VM leaves or is silent; when
/// several end together the announcements are in doubt rather than the VMs, and those are named a
/// while longer.
class EntryVmDirectory {
 public:
  struct Options {
    Duration answer_lifetime = std::chrono::seconds(2);
    /// How long a VM is named after its announcement has ended in doubt.
    Duration unconfirmed_removal_grace = std::chrono::seconds(3);
    std::size_t max_addresses = 64;
  };

  explicit EntryVmDirectory(Options options) : options_(options) {}

  auto Announce(const EntryVm& vm, MonotonicTime now) -> void;
  /// `in_doubt`: the announcements may have ended although the VM lives.
  auto Withdraw(const NodeName& name, bool unconfirmed, MonotonicTime now) -> void;

  /// The entry VMs for a caller in that zone: its zone's; without any, its region's; then those of
  /// the allowed regions (all if there are none).
  auto Answer(const ZoneName& zone, const RegionName& region,
              const std::vector<RegionName>& allowed_regions, MonotonicTime now)
      -> EntryVmSelection;
  /// The announced VMs, in the order of their names.
  auto Announced(MonotonicTime now) -> std::vector<EntryVm>;
  /// How many entry VMs there may be that this node can't see any more, at most.
  auto RecentMaxCount(MonotonicTime now) -> int;

 private:
  struct Entry {
    EntryVm vm;
    MonotonicTime listed_until = MonotonicTime::max();
  };

  auto Expire(MonotonicTime now) -> void;

  Options options_;
  absl::flat_hash_map<NodeName, Entry> entries_;
  int recent_max_ = 1;
  MonotonicTime recent_max_at_{};
};

/// Whether this node is one of the `feeders` that send requests to a cold target. Load pattern: a
/// target that has just started bears few requests a second from all entry VMs together. The VMs of
/// its own zone go first, then rendezvous hashing decides, so that each VM knows without a message.
auto IsColdTargetSender(const std::vector<EntryVm>& vms, const NodeName& self,
                        const TargetName& target, const ZoneName& target_zone, int sender_count)
    -> bool;

}  // namespace heatherspan
