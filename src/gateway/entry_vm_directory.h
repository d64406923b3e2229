#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace heatherspan {

/// An entry VM as it announces itself.
struct EntryVm {
  NodeName name;
  ZoneName zone;
  RegionName region;
  Endpoint caller_endpoint;     ///< Listens for callers' requests.
  Endpoint peer_endpoint = {};  ///< Listens for other entry VMs. Empty if it doesn't.
  bool reaches_targets = true;  ///< False while its links to all targets are lost.
  double weight = 1;            ///< See CapacityWeight.

  friend auto operator==(const EntryVm&, const EntryVm&) -> bool = default;
};

/// The entry VMs that a caller may use, and how long it may keep the list.
struct EntryVmSelection {
  std::vector<Endpoint> endpoints;
  Duration lifetime{};
};

/// The entry VMs that take requests. An announcement ends when its VM leaves or stops renewing it.
/// When several announcements end together, the announcements are more likely at fault than the
/// VMs, so those VMs stay listed for a grace period.
class EntryVmDirectory {
 public:
  struct Options {
    Duration answer_lifetime = std::chrono::seconds(2);
    /// How long a VM stays listed after an unconfirmed removal of its announcement.
    Duration unconfirmed_removal_grace = std::chrono::seconds(3);
    std::size_t max_addresses = 64;
  };

  explicit EntryVmDirectory(Options options, std::uint64_t seed = 1)
      : options_(options), random_(seed) {}

  auto Announce(const EntryVm& vm, MonotonicTime now) -> void;
  /// `unconfirmed`: the announcement may have ended although the VM still runs.
  auto Withdraw(const NodeName& name, bool unconfirmed, MonotonicTime now) -> void;

  /// Returns the entry VMs for a caller: those of its zone; with fewer than two there, also those
  /// of the region's other zones. If the region has none, the allowed regions are used, and if
  /// these have none either, all regions. VMs that reach no target are named only if no other is
  /// left: if none reaches any, the targets are more likely at fault than the links. VMs of unequal
  /// capacity are drawn for each answer, see Draw().
  auto Answer(const ZoneName& zone, const RegionName& region,
              const std::vector<RegionName>& allowed_regions, MonotonicTime now)
      -> EntryVmSelection;
  /// Returns the announced VMs, sorted by name. Valid until the next call.
  auto Announced(MonotonicTime now) -> const std::vector<EntryVm>&;
  /// Returns an upper bound of the number of running entry VMs, including those that this node no
  /// longer sees.
  auto RecentMaxCount(MonotonicTime now) -> int;

 private:
  struct Entry {
    EntryVm vm;
    MonotonicTime listed_until = MonotonicTime::max();
  };

  auto Expire(MonotonicTime now) -> void;
  static auto Select(const std::vector<const EntryVm*>& vms, const ZoneName& zone,
                     const RegionName& region, const std::vector<RegionName>& allowed_regions)
      -> std::vector<const EntryVm*>;
  /// Load pattern: callers pick one of the addresses of their answer at random, so that a VM with a
  /// fifth of the others' capacity would get as many callers as they do. Each VM is named with a
  /// probability in proportion to its capacity, and at least three are.
  auto Draw(std::vector<const EntryVm*> vms) -> std::vector<const EntryVm*>;

  Options options_;
  Random random_;
  absl::flat_hash_map<NodeName, Entry> entries_;
  std::vector<EntryVm> sorted_;
  bool sorted_is_current_ = true;
  MonotonicTime next_expiry_ = MonotonicTime::max();
  int recent_max_ = 1;
  MonotonicTime recent_max_at_{};
};

/// Returns whether this node is one of the `sender_count` entry VMs that send requests to a target
/// that is cold or has named a limit. Load pattern: such a target handles only a few requests per
/// second from all entry VMs together. The VMs of the target's zone rank first, then rendezvous
/// hashing decides, so that the VMs agree without messages.
auto IsTargetSender(const std::vector<EntryVm>& vms, const NodeName& self, const TargetName& target,
                    const ZoneName& target_zone, int sender_count) -> bool;

}  // namespace heatherspan
