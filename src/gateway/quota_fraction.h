#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/entry_vm_directory.h"

namespace heatherspan {

/// The fraction of every team's quota that this entry VM may manage or lend. All VMs that were
/// announced within a retention time have equal fractions, so that a VM out of sight keeps its own
/// for nearly as long.
class QuotaFraction {
 public:
  enum class Kind {
    kLearning,  ///< The others may not count this VM yet.
    kActive,
    kLapsed,  ///< The others may soon divide this VM's fraction.
  };

  static constexpr Duration kRetention = std::chrono::minutes(5);
  /// The announcement's lease, a loan of the fraction and the spread of news end within the margin.
  static constexpr Duration kMaxRenewalAge = kRetention - std::chrono::seconds(20);
  static constexpr Duration kSpreadMargin = std::chrono::milliseconds(500);

  explicit QuotaFraction(NodeName self) : self_(std::move(self)) {}

  auto SetChangeBound(Duration bound) -> void { change_bound_ = bound; }
  /// The store has renewed this VM's announcement, at the given time or later.
  auto OnAnnouncementRenewed(MonotonicTime at) -> void;
  /// The first state of the store that this process has seen, as it was at the given time. If it
  /// has an announcement of this VM, the fraction goes over from the earlier process.
  auto OnFirstState(const std::vector<EntryVm>& announced, MonotonicTime at) -> void;
  /// Takes over the announced VMs as this node sees them now.
  auto Update(const std::vector<EntryVm>& announced, MonotonicTime now) -> void;

  auto kind() const -> Kind { return kind_; }
  auto value() const -> double;
  auto vm_count() const -> std::size_t { return seen_at_.size(); }

  static auto KindText(Kind kind) -> std::string_view;

 private:
  NodeName self_;
  Kind kind_ = Kind::kLearning;
  Duration change_bound_ = std::chrono::milliseconds(2500);
  std::optional<MonotonicTime> renewed_at_;
  std::optional<MonotonicTime> announced_since_;
  absl::flat_hash_map<NodeName, MonotonicTime> seen_at_;
};

}  // namespace heatherspan
