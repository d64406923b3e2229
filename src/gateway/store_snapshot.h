#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "gateway/store_changes.h"

namespace heatherspan {

/// The items of the store as this node last saw them, and the last removals, for peers that can't
/// read the store. The snapshot is as large as the store itself: a few hundred bytes for each
/// target and entry VM, and the configuration.
class StoreSnapshot {
 public:
  /// Removals beyond this number are forgotten, the oldest first. A peer that has missed more reads
  /// a listing.
  static constexpr std::size_t kMaxRemovals = 4096;

  /// What a change means after what was known in the store's era before.
  enum class Effect {
    kNew,
    kUnchanged,      ///< The item has this value already.
    kRemovedBefore,  ///< The item had been removed. The store may have forgotten that.
  };

  auto Apply(const StoreChange& change) -> Effect;
  /// The store is back from an older copy: the following changes are its whole state.
  auto BeginEra() -> void;
  /// The whole state has been applied.
  auto EndOfNewState() -> void { earlier_items_.clear(); }
  /// The last write before the removal, for an item that was removed before, in the earlier era.
  auto EarlierWrite(const std::string& key) const -> const StoreChange*;
  /// Whether the item's last change is the given one.
  auto IsCurrent(const StoreChange& change) const -> bool;
  auto Page(std::uint64_t revision) const -> StorePage;
  /// Returns the last change of each key that changed after the revision, in order, or nothing if
  /// removals after it have been forgotten.
  auto ChangesAfter(std::uint64_t revision) const -> std::optional<std::vector<StoreChange>>;

 private:
  struct Item {
    StoreChange last_change;
    std::optional<StoreChange> removed;  ///< The last write before the removal.
  };
  using Items = absl::flat_hash_map<std::string, Item>;

  auto EffectOf(const StoreChange& change) const -> Effect;
  auto ForgetOldRemovals() -> void;

  Items items_;
  Items earlier_items_;  ///< Of the era before, while the state of the present one is applied.
  /// Keys by the revision of their last change. One transaction may change several keys.
  std::multimap<std::uint64_t, std::string> keys_by_revision_;
  std::multimap<std::uint64_t, std::string> removals_by_revision_;
  std::uint64_t forgotten_revision_ = 0;  ///< Removals up to this revision may be missing.
};

}  // namespace heatherspan
