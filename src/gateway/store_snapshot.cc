#include "gateway/store_snapshot.h"

#include <algorithm>

namespace heatherspan {
namespace {

auto EraseKey(std::multimap<std::uint64_t, std::string>& keys, std::uint64_t revision,
              const std::string& key) -> void {
  const auto [begin, end] = keys.equal_range(revision);
  const auto found =
      std::find_if(begin, end, [&key](const auto& entry) { return entry.second == key; });
  if (found != end) keys.erase(found);
}

}  // namespace

auto StoreSnapshot::Apply(const StoreChange& change) -> void {
  const auto [entry, is_new] = last_changes_.try_emplace(change.key);
  if (!is_new) {
    EraseKey(keys_by_revision_, entry->second.revision, change.key);
    if (!entry->second.value.has_value()) {
      EraseKey(removals_by_revision_, entry->second.revision, change.key);
    }
  }
  entry->second = change;
  keys_by_revision_.emplace(change.revision, change.key);
  if (change.value.has_value()) return;
  removals_by_revision_.emplace(change.revision, change.key);
  ForgetOldRemovals();
}

auto StoreSnapshot::ForgetOldRemovals() -> void {
  while (removals_by_revision_.size() > kMaxRemovals) {
    const auto oldest = removals_by_revision_.begin();
    forgotten_revision_ = std::max(forgotten_revision_, oldest->first);
    EraseKey(keys_by_revision_, oldest->first, oldest->second);
    last_changes_.erase(oldest->second);
    removals_by_revision_.erase(oldest);
  }
}

auto StoreSnapshot::Page(std::uint64_t revision) const -> StorePage {
  StorePage page;
  page.revision = revision;
  for (const auto& [key, change] : last_changes_) {
    if (change.value.has_value()) page.items.push_back(change);
  }
  return page;
}

auto StoreSnapshot::ChangesAfter(std::uint64_t revision) const
    -> std::optional<std::vector<StoreChange>> {
  if (revision < forgotten_revision_) return std::nullopt;
  std::vector<StoreChange> changes;
  for (auto entry = keys_by_revision_.upper_bound(revision); entry != keys_by_revision_.end();
       ++entry) {
    changes.push_back(last_changes_.at(entry->second));
  }
  return changes;
}

}  // namespace heatherspan
