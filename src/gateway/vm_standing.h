#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/entry_vm_directory.h"

namespace heatherspan {

/// Whether the other entry VMs count this node when they divide what all VMs may do together. A
/// node's right to a share is tied to its announcement in the store.
class VmStanding {
 public:
  enum class Kind {
    kLearning,  ///< The node has started. The others may not know of it, nor it of them.
    kActive,    ///< The node and the others know each other.
    kLapsed,    ///< The others may have divided this node's shares.
  };

  /// An announcement that was renewed longer ago may have ended: the lease lasts 3 s.
  static constexpr Duration kMaxRenewalAge = std::chrono::milliseconds(2500);
  /// The time by which a node waits longer than others need to hear of it.
  static constexpr Duration kSpreadMargin = std::chrono::milliseconds(500);
  /// A VM that was announced within this time may still run out of sight.
  static constexpr Duration kCountRetention = std::chrono::minutes(5);

  explicit VmStanding(NodeName self) : self_(std::move(self)) {}

  /// The time within which all VMs know of a change, such as an announcement.
  auto SetChangeBound(Duration bound) -> void { change_bound_ = bound; }
  /// The store has renewed this node's announcement, at the given time or later.
  auto OnAnnouncementRenewed(MonotonicTime at) -> void { renewed_at_ = at; }
  /// The store may have forgotten this node's announcement.
  auto OnStoreRestored() -> void { renewed_at_.reset(); }
  /// Takes over the announced VMs as this node sees them now.
  auto Update(const std::vector<EntryVm>& announced, MonotonicTime now) -> void;

  auto self() const -> const NodeName& { return self_; }
  auto kind() const -> Kind { return kind_; }
  /// The announced VMs when the node was active last.
  auto vms() const -> const std::vector<EntryVm>& { return vms_; }
  /// The largest number of announced VMs in the retention time.
  auto largest_count() const -> std::size_t { return largest_count_; }

 private:
  NodeName self_;
  Kind kind_ = Kind::kLearning;
  Duration change_bound_ = std::chrono::milliseconds(2500);
  std::optional<MonotonicTime> renewed_at_;
  bool is_announced_ = false;
  MonotonicTime announced_since_{};
  std::vector<EntryVm> vms_;
  std::size_t largest_count_ = 0;
  MonotonicTime largest_count_at_{};
};

}  // namespace heatherspan
